package reedquay;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An action that any thread can request at any time, also before it is available. Requests made earlier are merged
 * into one, which runs as soon as the action is set. Thread-safe.
 */
final class DeferredAction {
    private final AtomicBoolean requested = new AtomicBoolean();
    private final AtomicReference<Runnable> action = new AtomicReference<>();

    /** Runs the action in the calling thread, or, if none is set yet, when it is set. */
    void request() {
        requested.set(true);
        runIfRequested();
    }

    /** Sets the action and runs it if it has been requested. */
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
