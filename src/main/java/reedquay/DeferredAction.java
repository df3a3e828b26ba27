package reedquay;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An action that any thread can request at any time, also before it is available. It runs once at a time, and each
 * request is followed by a run that begins after it; requests made before a run begins are merged into that run. So
 * what the action reads last is what it has applied last. Thread-safe.
 */
final class DeferredAction {
    private final AtomicBoolean requested = new AtomicBoolean();
    private final AtomicBoolean running = new AtomicBoolean();
    private final AtomicReference<Runnable> action = new AtomicReference<>();

    /**
     * Runs the action in the calling thread; if it is running, has it run once more in the thread that runs it; if none
     * is set yet, has it run when it is set.
     */
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
        // again, since a request may come between the last run and the reset of running
        while (readyAction != null && requested.get() && running.compareAndSet(false, true)) {
            try {
                while (requested.getAndSet(false)) {
                    readyAction.run();
                }
            } finally {
                running.set(false);
            }
        }
    }
}
