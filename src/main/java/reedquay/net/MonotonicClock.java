package reedquay.net;

import java.time.Instant;

/** Unix time in nanoseconds that never goes back: the monotonic clock, led slowly after the wall's. */
public class MonotonicClock {
    private static final long JUMP = 1_000_000_000; // a wall clock so far ahead was set: follow at once
    private long offset = wall() - System.nanoTime();
    private long last;

    private static long wall() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000 + now.getNano();
    }

    public long now() {
        last = Math.max(last, System.nanoTime() + offset);
        return last;
    }

    /** Corrects the drift against the wall clock by at most the given step. */
    void slewTowardsWallClock(long step) {
        long drift = wall() - System.nanoTime() - offset;
        offset += drift > JUMP ? drift : Math.max(-step, Math.min(step, drift));
    }
}
