package reedquay.net;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Measures the turns of the event loop: the time from the first work after the sockets were polled until they are
 * polled again. During a turn nothing else is read and no timer runs, so its length is what every client waits. It
 * takes the place of the loop's select strategy, which is asked once at the beginning of each turn, and decides as
 * Netty's own does. Used on the event loop alone; times in nanoseconds.
 */
final class LoopMonitor implements SelectStrategy {
    private static final long LONG_TURN_NANOS = 20_000_000;
    private static final long VERY_LONG_TURN_NANOS = 100_000_000;
    private static final long IDLE = Long.MIN_VALUE;

    private long workingSince = IDLE;
    private long longestTurn;
    private long longTurns;
    private long veryLongTurns;

    /** Has the turns counted among these counters. */
    void register(Counters counters) {
        counters.gauge("loop.turn.longest.us", () -> longestTurn / 1_000);
        counters.gauge("loop.turn.over20ms", () -> longTurns);
        counters.gauge("loop.turn.over100ms", () -> veryLongTurns);
    }

    /** Some work begins; the first one in a turn counts. */
    void workBegins() {
        if (workingSince == IDLE) {
            workingSince = System.nanoTime();
        }
    }

    /** The time since the sockets were polled, as far as work has been done since; 0 where none has. */
    long sincePolled() {
        return workingSince == IDLE ? 0 : System.nanoTime() - workingSince;
    }

    @Override public int calculateStrategy(IntSupplier selectSupplier, boolean hasTasks) throws Exception {
        turnEnded();
        return hasTasks ? selectSupplier.get() : SelectStrategy.SELECT;
    }

    private void turnEnded() {
        if (workingSince == IDLE) {
            return;
        }
        long took = System.nanoTime() - workingSince;
        workingSince = IDLE;
        longestTurn = Math.max(longestTurn, took);
        longTurns += took >= LONG_TURN_NANOS ? 1 : 0;
        veryLongTurns += took >= VERY_LONG_TURN_NANOS ? 1 : 0;
    }
}
