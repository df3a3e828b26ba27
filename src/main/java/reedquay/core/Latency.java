package reedquay.core;

import java.util.Arrays;

/** Latencies in a few bins, each twice as wide as the one before, halved from time to time. */
public final class Latency {
    private static final int BINS = 8;
    private final int[] counts = new int[BINS];
    private final long unit;
    private final int most;
    private int total;

    public Latency(long unit) { this(unit, 32); }

    /** samples: after so many more the earlier ones count half. */
    public Latency(long unit, int samples) {
        this.unit = Math.max(1, unit); // guards against a soft deadline of nought
        this.most = 2 * samples;
    }

    public void add(long took) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, took - 1) / unit);
        counts[Math.min(BINS - 1, bits)] += 2;
        total += 2;
        if (total >= most) {
            Arrays.setAll(counts, i -> counts[i] / 2);
            total = Arrays.stream(counts).sum();
        }
    }

    /** The mean, with one sample of what to assume while nothing has been seen. */
    public long mean(long assumed) {
        long sum = assumed;
        for (int i = 0; i < BINS; i++) {
            sum += counts[i] * ((unit << i) * 3 / 4);
        }
        return sum / (total + 1);
    }

    /** The upper end of the bin that holds the given share of what was seen. */
    public long quantile(double share, long assumed) {
        int left = (int) Math.ceil(total * share);
        for (int i = 0; i < BINS && total > 0; i++) {
            left -= counts[i];
            if (left <= 0) {
                return unit << i;
            }
        }
        return assumed;
    }
}
