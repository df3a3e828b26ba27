package reedquay;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/** Something that is asked for at any time, by any thread, and done once there is a way: asked early, done then. */
final class DeferredAction {
    private final AtomicBoolean requested = new AtomicBoolean();
    private final AtomicReference<Runnable> action = new AtomicReference<>();

    void request() {
        requested.set(true);
        runIfRequested();
    }

    void enable(Runnable newAction) {
        action.set(newAction);
        runIfRequested();
    }

    private void runIfRequested() {
        Runnable readyAction = action.get();
        if (readyAction != null && requested.getAndSet(false)) {
            readyAction.run();
        }
    }
}
