package reedquay.net;

import java.time.Instant;

/** Unix time in nanoseconds that never goes back: the monotonic clock, led slowly after the wall's. */
public class MonotonicClock {
    private static final long STEP_THRESHOLD_NANOS = 1_000_000_000; // a wall clock so far ahead was set: follow at once
    private long offset = wallTime() - System.nanoTime();
    private long last;

    private static long wallTime() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000 + now.getNano();
    }

    public long now() {
        last = Math.max(last, System.nanoTime() + offset);
        return last;
    }

    /** Corrects the drift against the wall clock by at most the given step. */
    void slewTowardsWallClock(long maxStep) {
        long drift = wallTime() - System.nanoTime() - offset;
        offset += drift > STEP_THRESHOLD_NANOS ? drift : Math.max(-maxStep, Math.min(maxStep, drift));
    }
}
