package reedquay.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedquay.core.Method;
import reedquay.lab.FleetSimulation.Disturbances;
import reedquay.lab.FleetSimulation.MethodCounts;

/** Simulates fleets of gateways and prints the service of each method. Exits with 1 if a rule was violated. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = "Simulates many gateways with little traffic each before the same members, and checks the rules.")
final class FleetCommand implements Callable<Integer> {
    @Option(names = "--from", defaultValue = "0", description = "the first seed; default ${DEFAULT-VALUE}")
    private long firstSeed;
    @Option(names = "--seeds", defaultValue = "12", description = "number of seeds; default ${DEFAULT-VALUE}")
    private int seeds;
    @Option(names = "--seconds", defaultValue = "16", description = "seconds of traffic; default ${DEFAULT-VALUE}")
    private int seconds;
    @Option(names = "--odd", description = "an edge-case mix instead of a random one: ${COMPLETION-CANDIDATES}")
    private TrafficMix.EdgeCase edgeCase;
    @Option(names = "--calm", description = "no lag, replacements or restarts")
    private boolean undisturbed;

    @Override public Integer call() {
        System.out.println("| seed | gateways | troubles | least served, of the best | methods: need, utility, part,"
                + " served in time | broken rules |\n| --- | --- | --- | --- | --- | --- |");
        boolean violated = false;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            FleetSimulation fleet = edgeCase == null ? FleetSimulation.withRandomMix(seed)
                    : new FleetSimulation(seed, TrafficMix.edgeCase(edgeCase, new SplittableRandom(seed)), 3, 6, 80,
                            80);
            Disturbances disturbances = undisturbed ? new Disturbances(false, false, false) : disturbancesFor(seed);
            fleet.run(seconds, loadFor(seed), disturbances);
            List<String> methodCells = new ArrayList<>();
            fleet.counts().forEach((method, methodCounts) -> methodCells.add(String.format(Locale.ROOT,
                    "%s %.0f %.2f: %.2f", method.consistency(), method.utility(), fleet.trafficShare(method),
                    methodCounts.servedShare())));
            System.out.printf(Locale.ROOT, "| %d | %d | %s | %.2f | %s | %s |%n", seed, fleet.configuredGateways(),
                    describe(disturbances), leastServedRatio(fleet), String.join("; ", methodCells),
                    fleet.violations());
            violated |= !fleet.violations().isEmpty();
        }
        return violated ? 1 : 0;
    }

    /** Disturbances by seed: replacements and restarts for every second seed, lagging replicas for every third. */
    static Disturbances disturbancesFor(long seed) {
        return new Disturbances(seed % 3 == 2, seed % 2 == 1, seed % 2 == 1);
    }

    /** The load by seed, as a share of the members' capacity. */
    static double loadFor(long seed) {
        return 0.35 + new SplittableRandom(seed + 1).nextDouble() * 0.2;
    }

    /**
     * The served share of the worst-served method over that of the best-served one. The worst is taken from methods
     * with at least a twentieth of the traffic and a soft deadline above zero.
     */
    static double leastServedRatio(FleetSimulation fleet) {
        double least = 1;
        double best = 0;
        for (Method method : fleet.counts().keySet()) {
            MethodCounts methodCounts = fleet.counts().get(method);
            least = fleet.trafficShare(method) >= 0.05 && method.softDeadline() > 0
                    ? Math.min(least, methodCounts.servedShare()) : least;
            best = Math.max(best, methodCounts.servedShare());
        }
        return least / best;
    }

    private static String describe(Disturbances disturbances) {
        List<String> words = new ArrayList<>();
        if (disturbances.replicasLag()) {
            words.add("lag");
        }
        if (disturbances.membersReplaced()) {
            words.add("replaced");
        }
        if (disturbances.gatewaysRestart()) {
            words.add("restarts");
        }
        return words.isEmpty() ? "none" : String.join(", ", words);
    }
}
