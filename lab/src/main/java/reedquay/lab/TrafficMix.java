package reedquay.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import reedquay.core.Method;
import reedquay.core.Method.Consistency;

/** Methods and their shares of the traffic, which add up to 1. */
public record TrafficMix(List<Method> methods, double[] shares) {
    private static final double WRITE_SHARE = 0.08;

    /** Edge cases of mixes that the settings allow. The constants are values of a command-line option. */
    public enum EdgeCase {
        /** No reads with a maximum age of the data. */
        NO_BOUNDED,
        /** Only reads with a maximum age of the data. */
        ALL_BOUNDED,
        /** No writes. */
        NO_WRITES,
        /** A utility of 1 for all methods. */
        ALL_ALIKE,
        /** A utility of 0 for all methods. */
        ALL_WORTHLESS,
        /** A utility of 0 for the first read with a maximum age. */
        ONE_WORTHLESS,
        /** A maximum age of 0 for the first read with one. */
        BOUND_OF_NOUGHT,
        /** A maximum age of an hour for the first read with one. */
        BOUND_OF_AN_HOUR,
        /** A soft deadline of 0 for the first read with a maximum age. */
        NO_TIME
    }

    /** A write and four reads with random bounds, utilities and shares. */
    static TrafficMix random(SplittableRandom random) {
        return of(random, Consistency.WRITE, Consistency.BOUNDED, Consistency.BOUNDED, Consistency.SESSION,
                Consistency.ANY);
    }

    /** The random mix changed to an edge case. */
    static TrafficMix edgeCase(EdgeCase edgeCase, SplittableRandom random) {
        TrafficMix base = switch (edgeCase) {
            case NO_BOUNDED -> of(random, Consistency.WRITE, Consistency.SESSION, Consistency.ANY);
            case ALL_BOUNDED -> of(random, Consistency.BOUNDED, Consistency.BOUNDED);
            case NO_WRITES -> of(random, Consistency.BOUNDED, Consistency.SESSION, Consistency.ANY);
            default -> random(random);
        };
        List<Method> changed = new ArrayList<>();
        for (Method method : base.methods) {
            boolean firstBounded = method.consistency() == Consistency.BOUNDED
                    && changed.stream().noneMatch(earlier -> earlier.consistency() == Consistency.BOUNDED);
            long maxAge = firstBounded && edgeCase == EdgeCase.BOUND_OF_NOUGHT ? 0
                    : firstBounded && edgeCase == EdgeCase.BOUND_OF_AN_HOUR ? 3_600_000 * FleetSimulation.NANOS_PER_MS
                    : method.maxAge();
            double utility = edgeCase == EdgeCase.ALL_ALIKE ? 1
                    : edgeCase == EdgeCase.ALL_WORTHLESS || firstBounded && edgeCase == EdgeCase.ONE_WORTHLESS ? 0
                    : method.utility();
            long softDeadline = firstBounded && edgeCase == EdgeCase.NO_TIME ? 0 : method.softDeadline();
            changed.add(new Method(method.name(), method.consistency(), maxAge, softDeadline, method.deadline(),
                    utility, method.lateUtilityShare(), method.retrySafety(), method.deduplicationScope(),
                    method.deduplicationWindow()));
        }
        return new TrafficMix(changed, base.shares);
    }

    private static TrafficMix of(SplittableRandom random, Consistency... consistencies) {
        List<Method> methods = new ArrayList<>();
        double[] shares = new double[consistencies.length];
        double sum = 0;
        for (int i = 0; i < consistencies.length; i++) {
            boolean write = consistencies[i] == Consistency.WRITE;
            long softDeadline = (write ? 1000 : 350 + random.nextInt(300)) * FleetSimulation.NANOS_PER_MS;
            methods.add(new Method("m" + i, consistencies[i],
                    (200 + random.nextInt(400)) * FleetSimulation.NANOS_PER_MS, softDeadline, 3 * softDeadline,
                    1 + random.nextInt(6), 0, write ? Method.RetrySafety.TOKENED : Method.RetrySafety.IDEMPOTENT,
                    write ? Method.DeduplicationScope.GROUP : Method.DeduplicationScope.ALL,
                    2000 * FleetSimulation.NANOS_PER_MS));
            shares[i] = write ? 0 : 0.05 + random.nextDouble();
            sum += shares[i];
        }
        double writeShare = consistencies[0] == Consistency.WRITE ? WRITE_SHARE : 0;
        for (int i = 0; i < shares.length; i++) {
            shares[i] = consistencies[i] == Consistency.WRITE ? writeShare : shares[i] * (1 - writeShare) / sum;
        }
        return new TrafficMix(methods, shares);
    }
}
