package reedquay.time;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

class UnixTimeEstimateTest {
    private static final long MILLIS = 1_000_000;
    private static final long TOLERANCE = 250 * MILLIS;
    private static final long HOUR = 3_600_000 * MILLIS;
    private static final long START = 1_767_225_600_000L * MILLIS;

    private final UnixTimeEstimate estimate = new UnixTimeEstimate(TOLERANCE);

    private void report(int count, long position, long now, long wallTime) {
        for (int i = 0; i < count; i++) {
            estimate.positionReported(position, now, wallTime);
        }
    }

    /** Prevents stale or refused reads, which happen when the estimate follows a step of this machine's clock alone. */
    @Test void stepOfThisMachineAloneIsIgnored() {
        for (long step : new long[] {HOUR, -HOUR, 5_000 * MILLIS, -5_000 * MILLIS}) {
            report(1000, START - 5 * MILLIS, START, START + step);
            report(1000, START - 5_000 * MILLIS, START, START + step); // a replica that lags as far as the step
            assertEquals(0, estimate.shift());
        }
    }

    @Test void stepForwardOfAllMachinesIsFollowed() {
        report(7, START + HOUR, START, START + HOUR);
        assertEquals(0, estimate.shift());
        assertTrue(estimate.positionReported(START + HOUR, START, START + HOUR));
        assertEquals(START, estimate.toLocal(START + HOUR));
    }

    /** Prevents a wrong estimate, which happens when a malformed position and a stepped wall clock come together. */
    @Test void positionInTheFutureThatTheWallClockDoesNotShowIsIgnored() {
        report(1000, START + 2 * HOUR, START, START + HOUR);
        for (int i = 0; i < 1000; i++) {
            report(7, START + HOUR, START, START + HOUR);
            report(1, START, START, START + HOUR);
        }
        assertEquals(0, estimate.shift());
    }
}
