package reedquay.lab.restart;

import com.google.gson.JsonObject;
import example.StandIn;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reedquay.lab.soak.FaultLibrary;
import reedquay.lab.soak.GatewayProcess;
import reedquay.lab.soak.ProcessConfiguration;

/** One run of a plan: a gateway process that serves clients, is held up, and gets SIGTERM. */
final class RestartRun {
    private static final int SERVING_MILLIS = 2_500;
    /** The earliest kill after SIGTERM, the longest deadline being 3 s. */
    private static final int KILL_MILLIS = 3_700;
    private static final int MAX_PAUSE_MILLIS = 150; // between two hold-ups of the process
    private static final int HOLD_UP_ONE_IN = 50; // readings of the clock

    /** What was seen; violations: a line each. */
    record Result(RestartPlan plan, RestartClients clients, Map<String, Long> counters, List<String> violations,
            String gatewayOutput) { }

    private final RestartPlan plan;
    private final Path root;
    private final Path library;
    private volatile boolean over;

    RestartRun(RestartPlan plan, Path root, Path library) {
        this.plan = plan;
        this.root = root;
        this.library = library;
    }

    Result run() throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("restart");
        Path config = directory.resolve("config.json");
        try (StandIn standIn = new StandIn(0, 500, "one", "two", "three")) {
            JsonObject json = ProcessConfiguration.create(root, standIn);
            json.getAsJsonObject("limits").addProperty("sockets", plan.sockets());
            Files.writeString(config, json.toString());
            FaultLibrary faults = FaultLibrary.create(library, directory);
            GatewayProcess gateway =
                    new GatewayProcess(root.resolve("target/reedquay.jar"), config, faults.variables());
            try {
                return run(gateway, faults);
            } finally {
                over = true;
                gateway.awaitEndOrKill(0);
            }
        } finally {
            Files.deleteIfExists(directory.resolve("faults"));
            Files.deleteIfExists(config);
            Files.deleteIfExists(directory);
        }
    }

    private Result run(GatewayProcess gateway, FaultLibrary faults) throws IOException, InterruptedException {
        RestartClients clients = new RestartClients(plan, gateway.address());
        Thread holdingUp = new Thread(() -> holdUp(gateway), "hold-ups");
        if (plan.holdUpMillis() > 0 && plan.holdUp() == RestartPlan.HoldUp.PROCESS) {
            holdingUp.start();
        } else {
            faults.holdUp(plan.holdUpMillis() * 1_000, HOLD_UP_ONE_IN);
        }
        Thread.sleep(SERVING_MILLIS);
        int served = clients.served.get();
        long killAt = System.nanoTime() + KILL_MILLIS * 1_000_000L;
        gateway.signal("TERM");
        boolean killed = gateway.awaitEndOrKill(killAt);
        over = true;
        holdingUp.join();
        clients.stop();
        List<String> violations = new ArrayList<>(clients.lost);
        check(violations, served > 0, "no client was served before SIGTERM");
        check(violations, !killed, "the gateway had not ended when it was killed");
        gateway.brokenInvariants().forEach(counter -> violations.add("counter " + counter));
        return new Result(plan, clients, gateway.finalCounterValues(), violations, gateway.output());
    }

    private static void check(List<String> violations, boolean holds, String violation) {
        if (!holds) {
            violations.add(violation);
        }
    }

    /** Stops the process and lets it go on, again and again. */
    private void holdUp(GatewayProcess gateway) {
        SplittableRandom random = new SplittableRandom(plan.holdUpMillis());
        try {
            while (!over && gateway.isAlive()) {
                gateway.signal("STOP");
                Thread.sleep(plan.holdUpMillis());
                gateway.signal("CONT");
                Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("the rig failed: " + e, e);
        }
    }
}
