package reedquay.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import reedquay.core.Method;
import reedquay.core.Method.Consistency;

/** Methods and their parts of the traffic. */
public record Mix(List<Method> methods, double[] parts) {
    private static final double WRITES = 0.08;

    /** Mixes that users might come with, though nobody has them yet. */
    public enum Odd { NO_BOUNDED, ALL_BOUNDED, NO_WRITES, ALL_ALIKE, ALL_WORTHLESS, ONE_WORTHLESS, BOUND_OF_NOUGHT,
        BOUND_OF_AN_HOUR, NO_TIME }

    /** A write and four reads of any bounds, utilities and parts. */
    static Mix drawn(SplittableRandom random) {
        return of(random, Consistency.WRITE, Consistency.BOUNDED, Consistency.BOUNDED, Consistency.SESSION, Consistency.ANY);
    }

    static Mix odd(Odd odd, SplittableRandom random) {
        Mix mix = switch (odd) {
            case NO_BOUNDED -> of(random, Consistency.WRITE, Consistency.SESSION, Consistency.ANY);
            case ALL_BOUNDED -> of(random, Consistency.BOUNDED, Consistency.BOUNDED);
            case NO_WRITES -> of(random, Consistency.BOUNDED, Consistency.SESSION, Consistency.ANY);
            default -> drawn(random);
        };
        List<Method> changed = new ArrayList<>();
        for (Method m : mix.methods) {
            boolean first = m.consistency() == Consistency.BOUNDED && changed.stream().noneMatch(c -> c.consistency() == Consistency.BOUNDED);
            long age = first && odd == Odd.BOUND_OF_NOUGHT ? 0
                    : first && odd == Odd.BOUND_OF_AN_HOUR ? 3_600_000 * Fleet.MS : m.maxAge();
            double utility = odd == Odd.ALL_ALIKE ? 1 : odd == Odd.ALL_WORTHLESS || first && odd == Odd.ONE_WORTHLESS
                    ? 0 : m.utility();
            long soft = first && odd == Odd.NO_TIME ? 0 : m.softDeadline();
            changed.add(new Method(m.name(), m.consistency(), age, soft, m.deadline(), utility, m.lateUtilityShare(), m.retrySafety(),
                    m.deduplicationScope(), m.deduplicationWindow()));
        }
        return new Mix(changed, mix.parts);
    }

    private static Mix of(SplittableRandom random, Consistency... needs) {
        List<Method> methods = new ArrayList<>();
        double[] parts = new double[needs.length];
        double sum = 0;
        for (int i = 0; i < needs.length; i++) {
            boolean write = needs[i] == Consistency.WRITE;
            long soft = (write ? 1000 : 350 + random.nextInt(300)) * Fleet.MS;
            methods.add(new Method("m" + i, needs[i], (200 + random.nextInt(400)) * Fleet.MS, soft, 3 * soft,
                    1 + random.nextInt(6), 0, write ? Method.RetrySafety.TOKENED : Method.RetrySafety.IDEMPOTENT,
                    write ? Method.DeduplicationScope.GROUP : Method.DeduplicationScope.ALL, 2000 * Fleet.MS));
            parts[i] = write ? 0 : 0.05 + random.nextDouble();
            sum += parts[i];
        }
        double writes = needs[0] == Consistency.WRITE ? WRITES : 0;
        for (int i = 0; i < parts.length; i++) {
            parts[i] = needs[i] == Consistency.WRITE ? writes : parts[i] * (1 - writes) / sum;
        }
        return new Mix(methods, parts);
    }
}
