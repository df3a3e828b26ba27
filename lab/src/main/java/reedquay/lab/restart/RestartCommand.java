package reedquay.lab.restart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedquay.lab.soak.FaultLibrary;

/** Runs planned restarts of a gateway that is held up, a run for each combination of the options. */
@Command(name = "restarts", mixinStandardHelpOptions = true,
        description = "Runs a gateway process that is held up and gets SIGTERM, beside clients that keep sending; exit"
        + " status 1 if a connection ends over a request that had long been sent, or an answer is missing, 2 if it"
        + " cannot run.")
public final class RestartCommand implements Callable<Integer> {
    private static final int MAX_PRINTED = 4; // of the violations of a run, the longest texts first

    @Option(names = "--clients", split = ",", defaultValue = "110", description = "connections in use")
    private List<Integer> clients;
    @Option(names = "--commands", split = ",", defaultValue = "1,4", description = "requests sent at once")
    private List<Integer> commands;
    @Option(names = "--kinds", split = ",", defaultValue = "READ,WRITE,LARGE_WRITE", description = "what they ask")
    private List<RestartPlan.Command> kinds;
    @Option(names = "--sockets", split = ",", defaultValue = "1024,256",
            description = "the gateway's limit on descriptors; with 256 it closes sessions of 110 clients for room")
    private List<Integer> sockets;
    @Option(names = "--hold-ups", split = ",", defaultValue = "CLOCK,PROCESS",
            description = "whether the event loop is held up after it read the clock, or the process at any moment")
    private List<RestartPlan.HoldUp> holdUps;
    @Option(names = "--millis", split = ",", defaultValue = "80", description = "length of a hold-up, 0 for none")
    private List<Integer> holdUpMillis;
    @Option(names = "--repeat", defaultValue = "1", description = "runs of each combination")
    private int repeat;
    @Option(names = "--root", defaultValue = ".", description = "the project's root folder, built")
    private Path root;
    @Option(names = "--verbose", description = "also print the gateway's output of each run with a violation")
    private boolean verbose;

    @Override public Integer call() throws IOException, InterruptedException {
        if (!Files.exists(root.resolve("target/reedquay.jar"))) {
            System.err.println("restarts: no gateway below " + root + ": run mvn package first");
            return 2;
        }
        boolean positive = clients.stream().allMatch(c -> c > 0) && commands.stream().allMatch(c -> c > 0)
                && sockets.stream().allMatch(s -> s > 0) && repeat > 0;
        if (!positive || holdUpMillis.stream().anyMatch(m -> m < 0)) {
            System.err.println("restarts: --clients, --commands, --sockets and --repeat must be 1 or more,"
                    + " --millis 0 or more");
            return 2;
        }
        Path library;
        try {
            library = FaultLibrary.compile(root.resolve("lab/src/main/c/faults.c"));
        } catch (IOException e) {
            System.err.println("restarts: needs a C compiler named cc: " + e.getMessage());
            return 2;
        }
        return runAll(library);
    }

    private int runAll(Path library) throws IOException, InterruptedException {
        System.out.println("| run | requests | served | refused | failed | crossed | met the end | for room | drained"
                + " | turns over 20 ms | violations |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        int broken = 0;
        for (RestartPlan plan : plans()) {
            RestartRun.Result result = new RestartRun(plan, root, library).run();
            print(result);
            broken += result.violations().isEmpty() ? 0 : 1;
        }
        System.out.println(broken + " runs with violations");
        return broken == 0 ? 0 : 1;
    }

    private List<RestartPlan> plans() {
        List<RestartPlan> plans = new ArrayList<>();
        for (int count : clients) {
            for (int atOnce : commands) {
                for (RestartPlan.Command kind : kinds) {
                    for (int limit : sockets) {
                        for (RestartPlan.HoldUp holdUp : holdUps) {
                            for (int millis : holdUpMillis) {
                                RestartPlan plan = new RestartPlan(count, atOnce, kind, limit, holdUp, millis);
                                plans.addAll(Collections.nCopies(repeat, plan));
                            }
                        }
                    }
                }
            }
        }
        return plans;
    }

    private void print(RestartRun.Result result) {
        RestartClients all = result.clients();
        System.out.printf("| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |%n", result.plan(), all.requests(),
                all.served.get(), all.refused.get(), all.failed.get(), all.crossed.get(), all.metEnd.get(),
                result.counters().getOrDefault("client.closed.room", 0L),
                result.counters().getOrDefault("client.closed.drain", 0L),
                result.counters().getOrDefault("loop.turn.over20ms", 0L), result.violations().size());
        result.violations().stream().sorted(Comparator.comparing(String::length).reversed()).limit(MAX_PRINTED)
                .forEach(violation -> System.out.println("  " + violation));
        if (verbose && !result.violations().isEmpty()) {
            System.out.println(result.gatewayOutput().indent(2));
        }
    }
}
