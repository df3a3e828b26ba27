package reedquay.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import reedquay.loop.FlowScheduler;

/**
 * Serves the sessions that have work, in turns of the event loop: one task of limited length after the sockets were
 * polled, and the next one only after they were polled again. Which session is next FlowScheduler decides. Used on the
 * event loop alone.
 */
final class SessionWork {
    private static final long QUANTUM_NANOS = 100_000;
    private static final long TURN_NANOS = 5_000_000;

    private final EventLoop loop;
    private final FlowScheduler<ClientSession> scheduler = new FlowScheduler<>(QUANTUM_NANOS, TURN_NANOS);
    private final Runnable serving = this::serveSessions;
    private boolean scheduled;

    SessionWork(EventLoop loop) {
        this.loop = loop;
    }

    /** The session has work. */
    void activate(ClientSession session) {
        scheduler.activate(session);
        if (!scheduled) {
            scheduled = true;
            loop.execute(serving);
        }
    }

    /** The session has closed. */
    void remove(ClientSession session) {
        scheduler.remove(session);
    }

    private void serveSessions() {
        try {
            scheduler.beginTurn();
            for (ClientSession session = scheduler.next(); session != null; session = scheduler.next()) {
                serve(session);
            }
        } finally { // a failure must not end the turns of all
            scheduled = scheduler.hasWork();
            if (scheduled) {
                // as a timer, which runs only after the sockets were polled again; a task could run before that
                loop.schedule(serving, 0, TimeUnit.NANOSECONDS);
            }
        }
    }

    private void serve(ClientSession session) {
        long start = System.nanoTime();
        boolean hasWork = false;
        try {
            hasWork = session.serve(start, scheduler.allowance(session));
        } finally {
            scheduler.served(session, System.nanoTime() - start, hasWork);
        }
    }
}
