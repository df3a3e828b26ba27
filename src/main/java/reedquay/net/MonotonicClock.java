package reedquay.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/** Unix time in nanoseconds that never goes back: the monotonic clock, slewed towards the wall clock. */
public class MonotonicClock {
    /** A wall clock that is ahead by more than this was set, and is followed in one step. */
    private static final long STEP_THRESHOLD_NANOS = 1_000_000_000;
    private final LongSupplier monotonicTime;
    private final LongSupplier wallTime;
    private long offset;
    private long last;

    /** A clock of the system's own times. */
    public MonotonicClock() {
        this(System::nanoTime, MonotonicClock::wallTime);
    }

    /** A clock of the given times, in nanoseconds: a monotonic one, and Unix time as the machine shows it. */
    MonotonicClock(LongSupplier monotonicTime, LongSupplier wallTime) {
        this.monotonicTime = monotonicTime;
        this.wallTime = wallTime;
        offset = wallTime.getAsLong() - monotonicTime.getAsLong();
    }

    private static long wallTime() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000 + now.getNano();
    }

    /** The current time; never less than an earlier result. */
    public long now() {
        last = Math.max(last, monotonicTime.getAsLong() + offset);
        return last;
    }

    /** Corrects the drift against the wall clock by at most maxStep nanoseconds, or fully if that is far ahead. */
    void slewTowardsWallClock(long maxStep) {
        long drift = wallTime.getAsLong() - monotonicTime.getAsLong() - offset;
        offset += drift > STEP_THRESHOLD_NANOS ? drift : Math.max(-maxStep, Math.min(maxStep, drift));
    }
}
