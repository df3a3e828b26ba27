package reedquay.lab.flood;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs clients that leave with much still unread, a run for each combination of the options; prints a row for each. */
@Command(name = "departures", mixinStandardHelpOptions = true,
        description = "Runs a gateway process with clients that send much and leave; exit status 1 if something is"
        + " sent on for a client that has left, or a write runs twice, 2 if it cannot run.")
public final class DepartureCommand implements Callable<Integer> {
    @Option(names = "--commands", split = ",", defaultValue = "1,20,500,20000", description = "commands sent at once")
    private List<Integer> commands;
    @Option(names = "--leave-after", split = ",", defaultValue = "0,20", description = "when they leave, in ms")
    private List<Integer> leaveAfterMillis;
    @Option(names = "--departures", split = ",", defaultValue = "CLOSE,RESET,HALF_CLOSE", description = "how")
    private List<DeparturePlan.Departure> departures;
    @Option(names = "--unread", arity = "1", split = ",", defaultValue = "false,true",
            description = "whether they leave their answers unread")
    private List<Boolean> unread;
    @Option(names = "--again", arity = "1", split = ",", defaultValue = "false,true",
            description = "whether another connection sends the first ids again")
    private List<Boolean> sendsAgain;
    @Option(names = "--kinds", split = ",", defaultValue = "READ,WRITE", description = "what they ask")
    private List<DeparturePlan.Command> kinds;
    @Option(names = "--root", defaultValue = ".", description = "the project's root folder, built")
    private Path root;
    @Option(names = "--verbose", description = "also print the gateway's output of each run with a violation")
    private boolean verbose;

    @Override public Integer call() throws IOException, InterruptedException {
        boolean built = Files.exists(root.resolve("target/reedquay.jar"));
        if (!built || commands.stream().anyMatch(c -> c < 1) || leaveAfterMillis.stream().anyMatch(m -> m < 0)) {
            System.err.println(!built ? "departures: no gateway below " + root + ": run mvn package first"
                    : "departures: --commands must be 1 or more, --leave-after 0 or more");
            return 2;
        }
        System.out.println("| clients | received by members | violations |\n| --- | --- | --- |");
        int broken = 0;
        for (DeparturePlan plan : plans()) {
            DepartureRun.Result result = new DepartureRun(plan, root).run();
            System.out.printf("| %s | %d | %d |%n", plan, result.received(), result.violations().size());
            result.violations().stream().limit(3).forEach(violation -> System.out.println("  " + violation));
            if (verbose && !result.violations().isEmpty()) {
                System.out.println(result.gatewayOutput().indent(2));
            }
            broken += result.violations().isEmpty() ? 0 : 1;
        }
        System.out.println(broken + " runs with violations");
        return broken == 0 ? 0 : 1;
    }

    private List<DeparturePlan> plans() {
        List<DeparturePlan> plans = new ArrayList<>();
        for (DeparturePlan.Command kind : kinds) {
            for (int count : commands) {
                for (int millis : leaveAfterMillis) {
                    for (DeparturePlan.Departure departure : departures) {
                        for (boolean isUnread : unread) {
                            for (boolean again : sendsAgain) {
                                plans.add(new DeparturePlan(kind, count, millis, departure, !isUnread, again));
                            }
                        }
                    }
                }
            }
        }
        return plans;
    }
}
