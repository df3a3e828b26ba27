package reedquay.core;

import java.util.Arrays;

/** A latency histogram with bins of doubling width, in which earlier samples lose weight exponentially. */
public final class LatencyHistogram {
    private static final int BINS = 8;
    private final int[] weights = new int[BINS];
    private final long unit;
    private final int maxTotalWeight;
    private int totalWeight;

    /** Creates an empty histogram; unit: the upper end of the first bin, in nanoseconds. */
    public LatencyHistogram(long unit) { this(unit, 32); }

    /** The same, with weights that are halved whenever their sum is that of halvingSamples unhalved samples. */
    public LatencyHistogram(long unit, int halvingSamples) {
        this.unit = Math.max(1, unit); // prevents a division by zero, which happens with a soft deadline of zero
        this.maxTotalWeight = 2 * halvingSamples;
    }

    /** Adds a sample in nanoseconds. */
    public void add(long took) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, took - 1) / unit);
        weights[Math.min(BINS - 1, bits)] += 2;
        totalWeight += 2;
        if (totalWeight >= maxTotalWeight) {
            Arrays.setAll(weights, i -> weights[i] / 2);
            totalWeight = Arrays.stream(weights).sum();
        }
    }

    /** The mean in nanoseconds; the default value counts as half a sample, so it is the mean of an empty histogram. */
    public long mean(long defaultValue) {
        long sum = defaultValue;
        for (int i = 0; i < BINS; i++) {
            sum += weights[i] * ((unit << i) * 3 / 4);
        }
        return sum / (totalWeight + 1);
    }

    /** The upper end of the bin in which the quantile lies, in nanoseconds; the default value where it is empty. */
    public long quantile(double fraction, long defaultValue) {
        int remaining = (int) Math.ceil(totalWeight * fraction);
        for (int i = 0; i < BINS && totalWeight > 0; i++) {
            remaining -= weights[i];
            if (remaining <= 0) {
                return unit << i;
            }
        }
        return defaultValue;
    }
}
