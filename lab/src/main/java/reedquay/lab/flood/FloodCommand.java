package reedquay.lab.flood;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs usual clients beside abusive ones, a run for each combination of the options, and prints a row for each. */
@Command(name = "flood", mixinStandardHelpOptions = true,
        description = "Runs a gateway process with usual clients beside abusive ones; exit status 1 if a usual client"
        + " is harmed, 2 if it cannot run.")
public final class FloodCommand implements Callable<Integer> {
    @Option(names = "--kinds", split = ",", description = "what abusive clients send; all kinds without this:"
            + " ${COMPLETION-CANDIDATES}")
    private List<MessageKind> kinds = List.of(MessageKind.values());
    @Option(names = "--clients", split = ",", defaultValue = "6", description = "numbers of abusive clients")
    private List<Integer> clients;
    @Option(names = "--unread", arity = "1", split = ",", defaultValue = "false",
            description = "whether abusive clients leave their answers unread")
    private List<Boolean> unread;
    @Option(names = "--reset", arity = "1", split = ",", defaultValue = "false",
            description = "whether abusive clients reset their connections at the end")
    private List<Boolean> reset;
    @Option(names = "--seconds", defaultValue = "6", description = "for how long abusive clients send")
    private int seconds;
    @Option(names = "--usual", defaultValue = "30", description = "number of usual clients")
    private int usualClients;
    @Option(names = "--root", defaultValue = ".", description = "the project's root folder, built")
    private Path root;
    @Option(names = "--verbose", description = "also print the gateway's output of each run")
    private boolean verbose;

    @Override public Integer call() throws InterruptedException, IOException {
        boolean built = Files.exists(root.resolve("target/reedquay.jar"));
        if (!built || seconds < 1 || usualClients < 1 || clients.stream().anyMatch(c -> c < 1)) {
            System.err.println(!built ? "flood: no gateway below " + root + ": run mvn package first"
                    : "flood: --seconds, --usual and --clients must be 1 or more");
            return 2;
        }
        System.out.println("| abusive clients | MB sent | connections | requests | served | pushed back | failed | late"
                + " | lost | closed | p50, ms | p99, ms | max, ms | longest turn, ms | peak, MB | violations |\n"
                + "| --- ".repeat(16) + "|");
        int broken = 0;
        for (FloodPlan plan : plans()) {
            FloodRun.Result result = new FloodRun(plan, root).run();
            print(result);
            broken += result.violations().isEmpty() ? 0 : 1;
        }
        System.out.println(broken + " runs with violations");
        return broken == 0 ? 0 : 1;
    }

    private List<FloodPlan> plans() {
        List<FloodPlan> plans = new ArrayList<>();
        for (MessageKind kind : kinds) {
            for (int count : clients) {
                for (boolean isUnread : unread) {
                    for (boolean isReset : reset) {
                        plans.add(new FloodPlan(kind, count, !isUnread,
                                isReset ? FloodPlan.Ending.RESET : FloodPlan.Ending.CLOSE, seconds, usualClients));
                    }
                }
            }
        }
        return plans;
    }

    private void print(FloodRun.Result result) {
        UsualClients usual = result.usual();
        System.out.printf(Locale.ROOT, "| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.1f"
                + " | %d | %d |%n", result.plan(), result.sentBytes() >> 20, result.connections(), usual.requests(),
                usual.served.get(), usual.pushedBack.get(), usual.failed.get(), usual.late.get(), usual.lost.get(),
                usual.closed.get(), usual.latencyMillis(50), usual.latencyMillis(99), usual.latencyMillis(100),
                result.counters().getOrDefault("loop.turn.longest.us", -1L) / 1000.0, result.peakKilobytes() >> 10,
                result.violations().size());
        result.violations().forEach(violation -> System.out.println("  " + violation));
        if (verbose) {
            System.out.println(result.gatewayOutput().indent(2));
        }
    }
}
