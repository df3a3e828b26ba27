package reedquay.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * The time for all spans, in nanoseconds: the monotonic clock, counted from the Unix time at its creation. Steps of the
 * wall clock do not move it.
 */
public class MonotonicClock {
    private final LongSupplier monotonicTime;
    private final LongSupplier wallTime;
    private final long offset;

    /** A clock of the system's own times. */
    public MonotonicClock() {
        this(System::nanoTime, MonotonicClock::systemWallTime);
    }

    /** A clock of the given times, in nanoseconds: a monotonic one, and Unix time as the machine shows it. */
    MonotonicClock(LongSupplier monotonicTime, LongSupplier wallTime) {
        this.monotonicTime = monotonicTime;
        this.wallTime = wallTime;
        offset = wallTime.getAsLong() - monotonicTime.getAsLong();
    }

    private static long systemWallTime() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000 + now.getNano();
    }

    /** The current time; never less than an earlier result. */
    public long now() {
        return monotonicTime.getAsLong() + offset;
    }

    /** Unix time as this machine shows it now; it may have been stepped. */
    long wallTime() {
        return wallTime.getAsLong();
    }
}
