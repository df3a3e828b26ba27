package reedquay.net;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** The counters and gauges of a gateway, by name; used on its event loop alone. */
public final class Counters {
    private static final long[] DELAY_BOUNDS_MILLIS = {2, 5, 20, 100};
    private static final String[] DELAY_COUNTERS = {"loop.late.to2ms", "loop.late.to5ms", "loop.late.to20ms",
        "loop.late.to100ms", "loop.late.over100ms"};

    private final Map<String, long[]> counts = new TreeMap<>();
    private final Map<String, LongSupplier> gauges = new TreeMap<>();

    /** Adds one to the counter of that name. */
    void add(String name) {
        add(name, 1);
    }

    void add(String name, long increment) {
        counts.computeIfAbsent(name, n -> new long[1])[0] += increment;
    }

    /** Counts, in a few coarse bins, by how many nanoseconds a timer of the event loop fired late. */
    void recordTimerDelay(long nanos) {
        int bin = 0;
        while (bin < DELAY_BOUNDS_MILLIS.length && nanos >= DELAY_BOUNDS_MILLIS[bin] * 1_000_000) {
            bin++;
        }
        add(DELAY_COUNTERS[bin]);
    }

    /** Registers a value that is read with each snapshot. */
    void gauge(String name, LongSupplier value) {
        gauges.put(name, value);
    }

    /** Checks an invariant: asserts it if assertions are enabled, else counts a violation as broken.INVARIANT. */
    void check(boolean condition, String invariant) {
        assert condition : invariant;
        if (!condition) {
            add("broken." + invariant);
        }
    }

    /** All counters and gauges now, in the order of their names. */
    public Map<String, Long> snapshot() {
        Map<String, Long> all = new TreeMap<>();
        counts.forEach((name, count) -> all.put(name, count[0]));
        gauges.forEach((name, value) -> all.put(name, value.getAsLong()));
        return all;
    }
}
