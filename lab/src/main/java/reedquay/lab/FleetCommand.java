package reedquay.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedquay.core.Method;
import reedquay.lab.Fleet.Count;
import reedquay.lab.Fleet.Troubles;

/** What each method has in a fleet of quiet gateways, by drawn mixes or odd ones; exits with 1 for broken rules. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "Many quiet gateways before the same members, the rules checked; simulated time.")
final class FleetCommand implements Callable<Integer> {
    @Option(names = "--from", defaultValue = "0", description = "the first seed; default ${DEFAULT-VALUE}")
    private long from;
    @Option(names = "--seeds", defaultValue = "12", description = "how many; default ${DEFAULT-VALUE}")
    private int seeds;
    @Option(names = "--seconds", defaultValue = "16", description = "of traffic; default ${DEFAULT-VALUE}")
    private int seconds;
    @Option(names = "--odd", description = "an odd mix instead of a drawn one: ${COMPLETION-CANDIDATES}")
    private Mix.Odd odd;
    @Option(names = "--calm", description = "no troubles")
    private boolean calm;

    @Override public Integer call() {
        System.out.println("| seed | gateways | troubles | least served, of the best | methods: need, utility, part,"
                + " served in time | broken rules |\n| --- | --- | --- | --- | --- | --- |");
        boolean broken = false;
        for (long seed = from; seed < from + seeds; seed++) {
            Fleet fleet = odd == null ? Fleet.drawn(seed)
                    : new Fleet(seed, Mix.odd(odd, new SplittableRandom(seed)), 3, 6, 80, 80);
            Troubles troubles = calm ? new Troubles(false, false, false) : usual(seed);
            fleet.run(seconds, load(seed), troubles);
            List<String> each = new ArrayList<>();
            fleet.counts().forEach((m, c) -> each.add(String.format(Locale.ROOT, "%s %.0f %.2f: %.2f", m.consistency(),
                    m.utility(), fleet.part(m), c.served())));
            System.out.printf(Locale.ROOT, "| %d | %d | %s | %.2f | %s | %s |%n", seed, fleet.gateways(),
                    words(troubles), least(fleet), String.join("; ", each), fleet.broken());
            broken |= !fleet.broken().isEmpty();
        }
        return broken ? 1 : 0;
    }

    /** Troubles by seed: every second one is of replacements and restarts, every third of replicas that lag. */
    static Troubles usual(long seed) {
        return new Troubles(seed % 3 == 2, seed % 2 == 1, seed % 2 == 1);
    }

    /** Of what the members can do. */
    static double load(long seed) {
        return 0.35 + new SplittableRandom(seed + 1).nextDouble() * 0.2;
    }

    /** The method least served of those with a twentieth of the traffic and time to be served in, beside the best. */
    static double least(Fleet fleet) {
        double least = 1;
        double best = 0;
        for (Method m : fleet.counts().keySet()) {
            Count count = fleet.counts().get(m);
            least = fleet.part(m) >= 0.05 && m.softDeadline() > 0 ? Math.min(least, count.served()) : least;
            best = Math.max(best, count.served());
        }
        return least / best;
    }

    private static String words(Troubles troubles) {
        List<String> words = new ArrayList<>();
        if (troubles.lags()) {
            words.add("lag");
        }
        if (troubles.replaced()) {
            words.add("replaced");
        }
        if (troubles.restarts()) {
            words.add("restarts");
        }
        return words.isEmpty() ? "none" : String.join(", ", words);
    }
}
