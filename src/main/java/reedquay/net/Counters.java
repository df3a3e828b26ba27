package reedquay.net;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Counts by name what a gateway takes in, sends and answers; used on its event loop alone. */
public final class Counters {
    private static final long[] LATE_MILLIS = {2, 5, 20, 100};
    private static final String[] LATE_NAMES = {"loop.late.to2ms", "loop.late.to5ms", "loop.late.to20ms",
        "loop.late.to100ms", "loop.late.over100ms"};

    private final Map<String, long[]> counts = new TreeMap<>();
    private final Map<String, LongSupplier> gauges = new TreeMap<>();

    void add(String name) {
        add(name, 1);
    }

    void add(String name, long by) {
        counts.computeIfAbsent(name, n -> new long[1])[0] += by;
    }

    /** How late a timer of the event loop rang, in a few coarse bins. */
    void recordTimerDelay(long nanos) {
        int bin = 0;
        while (bin < LATE_MILLIS.length && nanos >= LATE_MILLIS[bin] * 1_000_000) {
            bin++;
        }
        add(LATE_NAMES[bin]);
    }

    /** What is read when the counters are asked for. */
    void gauge(String name, LongSupplier value) {
        gauges.put(name, value);
    }

    /** What must hold: asserted in debug builds, counted in release builds. */
    void check(boolean holds, String what) {
        assert holds : what;
        if (!holds) {
            add("broken." + what);
        }
    }

    /** All of them now, in the order of their names. */
    public Map<String, Long> snapshot() {
        Map<String, Long> all = new TreeMap<>();
        counts.forEach((name, count) -> all.put(name, count[0]));
        gauges.forEach((name, value) -> all.put(name, value.getAsLong()));
        return all;
    }
}
