package reedquay.lab.soak;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One run: starts a gateway process with its members and clients, injects the faults of the plan, and judges. */
final class SoakRun {
    private static final int KILL_AFTER_DEADLINE_MILLIS = 700;
    private static final int MAX_COUNTED_DEADLINE_MILLIS = 3_000;
    private static final int GATEWAY_PORT = 6_543;
    private static final int NORMAL_OPEN_FILES = 1_024;
    private static final int MAX_ONE_IN = 3;
    /** How long after the last request all answers are in. */
    private static final int SETTLE_MILLIS = 300;

    /** requests and answered: how many were sent and answered; violations: a line each. */
    record Result(SoakPlan plan, int requests, long answered, long values, long resent, long riggedLateMillis,
            List<String> violations, String gatewayOutput) { }

    private final SoakPlan plan;
    private final int seconds;
    private final Path jar;
    private final Path directory;
    private final FaultLibrary faults;
    private final StandIn standIn = new StandIn(0, 500, "one", "two", "three");
    private final Arrivals arrivals = new Arrivals();
    private final List<String> violations = new ArrayList<>();
    private final StringBuilder gatewayOutput = new StringBuilder();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private volatile GatewayProcess gateway;
    private long wallClockShiftMillis;

    SoakRun(SoakPlan plan, int seconds, Path jar, Path library) throws IOException {
        this.plan = plan;
        this.seconds = seconds;
        this.jar = jar;
        directory = Files.createTempDirectory("soak");
        faults = FaultLibrary.create(library, directory);
        standIn.statementListener = arrivals::record;
    }

    Result run(Path configTemplate) throws IOException, InterruptedException {
        Path config = writeConfig(configTemplate);
        gateway = new GatewayProcess(jar, config, faults.variables());
        SoakClients clients = new SoakClients(plan, arrivals);
        List<SoakRequest> requests;
        try {
            clients.start(gateway.address());
            injectFaults(config);
            clients.stop();
            Thread.sleep(plan.longestDeadlineMillis() + SETTLE_MILLIS);
            stopGateway(0);
            requests = clients.finish();
        } finally {
            scheduler.shutdownNow();
            gateway.awaitEndOrKill(0);
            standIn.close();
            Files.deleteIfExists(directory.resolve("faults"));
            Files.deleteIfExists(config);
            Files.deleteIfExists(directory);
        }
        violations.addAll(new RuleChecker(arrivals).check(requests));
        return new Result(plan, requests.size(), count(requests, SoakRequest.End.ANSWERED),
                requests.stream().filter(r -> r.end == SoakRequest.End.ANSWERED && r.sqlState.isEmpty()).count(),
                requests.stream().filter(r -> r.resent).count(), clients.maxLatenessMillis(), violations,
                gatewayOutput.toString());
    }

    /**
     * An address and port that no parallel run uses, nor any socket with a port that the system chooses: while the
     * gateway restarts, its clients would else reach whatever has taken its port.
     */
    private String listenAddress() {
        return "127.77." + plan.seed() / 200 % 200 + "." + (1 + plan.seed() % 200) + ":" + GATEWAY_PORT;
    }

    private static long count(List<SoakRequest> requests, SoakRequest.End end) {
        return requests.stream().filter(r -> r.end == end).count();
    }

    private Path writeConfig(Path template) throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(template)).getAsJsonObject();
        config.addProperty("listen", listenAddress());
        config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
        config.getAsJsonObject("limits").addProperty("sockets", plan.sockets());
        for (JsonElement element : config.getAsJsonObject("settings").getAsJsonArray("Grades")) {
            JsonObject method = element.getAsJsonObject();
            for (SoakPlan.MethodPlan planned : plan.methods()) {
                if (planned.name().equals(method.get("Name").getAsString())) {
                    method.addProperty("OnTime", (double) planned.softDeadlineMillis());
                    method.addProperty("GiveUp", (double) planned.deadlineMillis());
                }
            }
        }
        return Files.writeString(directory.resolve("config.json"), config.toString());
    }

    private void injectFaults(Path config) throws InterruptedException {
        long start = System.nanoTime();
        List<Future<?>> restarts = new ArrayList<>();
        for (SoakPlan.Event event : plan.events()) {
            sleepUntil(start + event.atMillis() * 1_000_000L);
            boolean restarting = restarts.stream().anyMatch(r -> !r.isDone());
            if (event.kind() == SoakPlan.Kind.RESTART) {
                if (!restarting) { // otherwise the series goes on
                    restarts.add(scheduler.submit(() -> restart(config, event.durationMillis())));
                }
            } else {
                guarded(() -> inject(event));
            }
        }
        sleepUntil(start + seconds * 1_000_000_000L);
        for (Future<?> restart : restarts) {
            try {
                restart.get();
            } catch (java.util.concurrent.ExecutionException e) {
                violations.add("the restart failed: " + e.getCause());
            }
        }
    }

    private static void sleepUntil(long time) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, time - System.nanoTime()));
    }

    private interface Step {
        void run() throws Exception;
    }

    private static void guarded(Step step) {
        try {
            step.run();
        } catch (Exception e) {
            throw new IllegalStateException("the rig failed: " + e, e);
        }
    }

    private void after(int millis, Step step) {
        scheduler.schedule(() -> guarded(step), millis, TimeUnit.MILLISECONDS);
    }

    private void inject(SoakPlan.Event event) throws Exception {
        StandIn.Server server = standIn.server(event.target());
        switch (event.kind()) {
            case MEMBER_FAULT -> {
                server.fault = event.what();
                after(event.durationMillis(), () -> server.fault = "");
            }
            case MEMBER_RESET -> server.closeConnections();
            case MEMBER_DRAIN -> {
                setLifecycle(server, "draining");
                after(event.durationMillis(), () -> setLifecycle(server, "ready"));
            }
            case WATCHES_CLOSED -> standIn.closeWatches();
            case RELOADS -> {
                for (int i = 0; i < 3; i++) {
                    after(i * event.durationMillis(), () -> gateway.signal("HUP"));
                }
            }
            case OPEN_FILES -> {
                GatewayProcess limited = gateway;
                limited.limitOpenFiles(Math.max(1, limited.openFiles()));
                after(event.durationMillis(), () -> limited.limitOpenFiles(NORMAL_OPEN_FILES));
            }
            case CALL_FAILURE -> {
                FaultLibrary.Call call = FaultLibrary.Call.valueOf(event.target());
                int oneIn = 1 + event.atMillis() % MAX_ONE_IN;
                faults.fail(call, Integer.parseInt(event.what()), oneIn);
                after(event.durationMillis(), () -> faults.fail(call, 0, 1));
            }
            case CLOCK_STEP -> shiftWallClock(Long.parseLong(event.what()), event.durationMillis());
            case RESTART -> throw new IllegalArgumentException("not injected here: " + event);
        }
    }

    private void shiftWallClock(long shiftMillis, int durationMillis) {
        wallClockShiftMillis = shiftMillis;
        faults.shiftWallClock(wallClockShiftMillis * 1_000_000);
        after(durationMillis, () -> faults.shiftWallClock(0));
    }

    private void setLifecycle(StandIn.Server server, String lifecycle) {
        boolean draining = lifecycle.equals("draining");
        if (!draining) {
            arrivals.setDraining(server.name, false);
        }
        server.lifecycle = lifecycle;
        standIn.announce(server.name);
        if (draining) {
            arrivals.setDraining(server.name, true);
        }
    }

    private Void restart(Path config, int secondSignalMillis) throws IOException, InterruptedException {
        stopGateway(secondSignalMillis);
        gateway = new GatewayProcess(jar, config, faults.variables());
        return null;
    }

    /** SIGTERM, once more after the given time, and SIGKILL at the earliest time that the platform allows. */
    private void stopGateway(int secondSignalMillis) throws IOException, InterruptedException {
        GatewayProcess stopping = gateway;
        if (!stopping.isAlive()) {
            violations.add("the gateway ended by itself, with status " + stopping.exitStatus());
        }
        long killAt = System.nanoTime() + 1_000_000L * (KILL_AFTER_DEADLINE_MILLIS
                + Math.min(plan.longestDeadlineMillis(), MAX_COUNTED_DEADLINE_MILLIS));
        stopping.signal("TERM");
        if (secondSignalMillis > 0) {
            Thread.sleep(secondSignalMillis);
            stopping.signal("HUP");
            stopping.signal("TERM");
        }
        if (stopping.awaitEndOrKill(killAt)) {
            violations.add("the gateway had not ended when it was killed");
        }
        stopping.brokenInvariants().forEach(counter -> violations.add("counter " + counter));
        synchronized (gatewayOutput) {
            gatewayOutput.append(stopping.output()).append('\n');
        }
    }
}
