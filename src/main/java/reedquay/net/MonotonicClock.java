package reedquay.net;

import java.time.Instant;

/** Unix time in nanoseconds that never goes back: the monotonic clock, slewed towards the wall clock. */
public class MonotonicClock {
    /** A wall clock that is ahead by more than this was set, and is followed in one step. */
    private static final long STEP_THRESHOLD_NANOS = 1_000_000_000;
    private long offset = wallTime() - System.nanoTime();
    private long last;

    private static long wallTime() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000 + now.getNano();
    }

    /** The current time; never less than an earlier result. */
    public long now() {
        last = Math.max(last, System.nanoTime() + offset);
        return last;
    }

    /** Corrects the drift against the wall clock by at most maxStep nanoseconds, or fully if that is far ahead. */
    void slewTowardsWallClock(long maxStep) {
        long drift = wallTime() - System.nanoTime() - offset;
        offset += drift > STEP_THRESHOLD_NANOS ? drift : Math.max(-maxStep, Math.min(maxStep, drift));
    }
}
