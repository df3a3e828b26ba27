package reedquay;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/** Something that is asked for at any time, by any thread, and done once there is a way: asked early, done then. */
final class Asked {
    private final AtomicBoolean open = new AtomicBoolean();
    private final AtomicReference<Runnable> way = new AtomicReference<>();

    void ask() {
        open.set(true);
        go();
    }

    void ready(Runnable how) {
        way.set(how);
        go();
    }

    private void go() {
        Runnable how = way.get();
        if (how != null && open.getAndSet(false)) {
            how.run();
        }
    }
}
