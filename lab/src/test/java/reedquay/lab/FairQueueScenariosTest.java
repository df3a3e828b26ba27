package reedquay.lab;

import static org.junit.jupiter.api.Assertions.*;
import static reedquay.lab.FairQueueScenarios.*;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import reedquay.core.Settings;
import reedquay.core.Stage;
import reedquay.fair.AdmissionController;
import reedquay.lab.FairQueueScenarios.AdmissionMode;
import reedquay.lab.GatewaySimulation.RequestStream;
import reedquay.lab.GatewaySimulation.RetryPolicy;

/**
 * Tests admission control by fair queues with the real routing engine in simulated time. Each test fails with the
 * Router alone or with a weaker admission control.
 */
class FairQueueScenariosTest {
    private static final long TEN_SECONDS = 10_000 * MS; // in nanoseconds

    /** Adds 48 polite clients of three tenants, which together offer 0.8 of the capacity. */
    private static List<RequestStream> addOtherClients(GatewaySimulation simulation) {
        List<RequestStream> streams = new ArrayList<>();
        for (String tenant : List.of("red", "green", "blue")) {
            streams.addAll(addEvenClients(simulation, tenant, 16, CHEAP, 0.8 / 3, RetryPolicy.POLITE, TEN_SECONDS));
        }
        return streams;
    }

    private static void assertRulesHold(GatewaySimulation simulation) {
        assertEquals(0, simulation.ruleViolations, "each RPC gets one final answer and no call-out after it");
        assertEquals(0, simulation.heldTooLong,
                "no RPC is pushed back without a call-out after half of its time to the deadline");
    }

    /** Returns the others' share of utility beside greedy streams, as a fraction of their share without them. */
    private static double othersRelativeUtility(AdmissionMode admissionMode, long seed, List<RequestStream> greedy) {
        double[] shares = new double[2];
        for (int with = 0; with < 2; with++) {
            GatewaySimulation simulation = simulation(threeTenants(), seed, admissionMode, 1000);
            List<RequestStream> others = addOtherClients(simulation);
            if (with == 1) {
                greedy.forEach(simulation::addStream);
            }
            simulation.runUntil(13_000);
            assertRulesHold(simulation);
            shares[with] = utilityShare(others);
        }
        return shares[1] / shares[0];
    }

    /** Returns a stream of one client that sends the given multiple of its share among 49 clients. */
    private static RequestStream greedyStream(String tenant, double times, RetryPolicy retryPolicy) {
        return new RequestStream(tenant, "greedy", CHEAP, times * CAPACITY_PER_SECOND / 49, retryPolicy, 0,
                TEN_SECONDS);
    }

    /** Prevents a client that sends twenty times its share from taking capacity that others need. */
    @Test void greedyClientDoesNotReduceOthersUtility() {
        for (RetryPolicy retryPolicy : RetryPolicy.values()) {
            double share = othersRelativeUtility(AdmissionMode.CLIENTS, 1,
                    List.of(greedyStream("red", 20, retryPolicy)));
            assertTrue(share >= 0.99, retryPolicy + ": " + share);
        }
        assertTrue(othersRelativeUtility(AdmissionMode.NOTHING, 1,
                List.of(greedyStream("red", 20, RetryPolicy.EAGER))) < 0.95, "the Router alone protects nobody");
        assertTrue(othersRelativeUtility(AdmissionMode.TENANTS, 1,
                List.of(greedyStream("red", 20, RetryPolicy.EAGER))) < 0.95, "queues by tenant do not protect others");
    }

    /** Prevents a client from multiplying its share by sending under several tenants' names. */
    @Test void greedyClientUsingThreeTenantsDoesNotReduceOthersUtility() {
        double share = othersRelativeUtility(AdmissionMode.CLIENTS, 2,
                List.of(greedyStream("red", 7, RetryPolicy.EAGER), greedyStream("green", 7, RetryPolicy.EAGER),
                greedyStream("blue", 6, RetryPolicy.EAGER)));
        assertTrue(share >= 0.99, "relative utility of the others: " + share);
    }

    /**
     * At 1.5 times the capacity, clients that retry at the advised time are served in time. Retries that a client sends
     * earlier count against its own share.
     */
    @Test void retriesAtTheAdvisedTimeAreServedInTime() {
        long advisedRetries = 0;
        long inTime = 0;
        for (long seed = 1; seed <= 3; seed++) {
            GatewaySimulation simulation = simulation(threeTenants(), seed, AdmissionMode.CLIENTS, 1000);
            List<RequestStream> streams = new ArrayList<>();
            for (String tenant : List.of("red", "green", "blue")) { // together 1.5 times the capacity
                streams.addAll(addEvenClients(simulation, tenant, 16, CHEAP, 1.5 / 3, RetryPolicy.POLITE,
                        TEN_SECONDS));
            }
            simulation.runUntil(13_000);
            assertRulesHold(simulation);
            advisedRetries += streams.stream().mapToLong(s -> s.advisedRetries).sum();
            inTime += streams.stream().mapToLong(s -> s.advisedRetriesInTime).sum();
        }
        assertTrue(advisedRetries > 1000, "retries at the advised time: " + advisedRetries);
        assertTrue(inTime >= 0.95 * advisedRetries, inTime + " served in time, of " + advisedRetries + " such retries");
    }

    /** Prevents shares from leaving replicas idle, which happens when a client is limited though others need less. */
    @Test void greedyClientGetsCapacityThatOthersLeave() {
        GatewaySimulation simulation = simulation(threeTenants(), 3, AdmissionMode.CLIENTS, 1000);
        List<RequestStream> others = new ArrayList<>();
        for (String tenant : List.of("red", "green")) {
            others.addAll(addEvenClients(simulation, tenant, 10, CHEAP, 0.1, RetryPolicy.POLITE, TEN_SECONDS));
        }
        RequestStream greedy = greedyStream("blue", 60, RetryPolicy.EAGER);
        simulation.addStream(greedy);
        simulation.runUntil(11_500);
        assertRulesHold(simulation);
        double work = greedy.workNanos + others.stream().mapToDouble(s -> s.workNanos).sum();
        assertTrue(work >= 0.98 * 4 * TEN_SECONDS, "utilization of the replicas: " + work / (4 * TEN_SECONDS));
        assertTrue(utilityShare(others) > 0.99, "the others' share of utility: " + utilityShare(others));
    }

    /**
     * Ten thousand clients that send one request each get as much service as clients that keep sending, at a load above
     * the capacity.
     */
    @Test void oneTimeClientsAreServedLikeRecurringClients() {
        GatewaySimulation simulation = simulation(threeTenants(), 4, AdmissionMode.CLIENTS, 1000);
        RequestStream oneTime = new RequestStream("red", "once-", CHEAP, 1000, RetryPolicy.POLITE, 0, TEN_SECONDS)
                .withNewClientPerRequest();
        simulation.addStream(oneTime);
        List<RequestStream> recurring =
                addEvenClients(simulation, "red", 20, CHEAP, 0.1, RetryPolicy.POLITE, TEN_SECONDS);
        List<RequestStream> green =
                addEvenClients(simulation, "green", 4, CHEAP, 0.2, RetryPolicy.POLITE, TEN_SECONDS);
        simulation.runUntil(13_000);
        assertRulesHold(simulation);
        assertTrue(oneTime.requests > 9_500, "requests of one-time clients: " + oneTime.requests);
        assertTrue(utilityShare(green) > 0.98, "the other tenant's share of utility: " + utilityShare(green));
        double ratio = utilityShare(recurring) / oneTime.utilityShare();
        assertTrue(ratio > 0.8 && ratio < 1.25 && oneTime.utilityShare() > 0.2,
                "recurring clients: " + utilityShare(recurring) + ", one-time clients: " + oneTime.utilityShare());
    }

    /** Prevents a leak of state per client: a million clients must take no more memory than a thousand. */
    @Test void memoryDoesNotGrowWithTheNumberOfClients() {
        long[] bytes = new long[2];
        for (int i = 0; i < 2; i++) {
            GatewaySimulation simulation = simulation(threeTenants(), 5, AdmissionMode.CLIENTS, 500);
            RequestStream stream =
                    new RequestStream("red", "c", CHEAP, 1, RetryPolicy.POLITE, 0, 0).withNewClientPerRequest();
            int clients = i == 0 ? 1000 : 1_000_000;
            simulation.addBurst(0, clients, stream, k -> k * 10_000L); // 100,000 per second
            stream.neverRetries = true;
            simulation.runUntil(20_000);
            assertRulesHold(simulation);
            assertEquals(clients, stream.requests);
            bytes[i] = ((AdmissionController) simulation.engine()).memoryBytes();
        }
        assertEquals(bytes[0], bytes[1]);
    }

    /**
     * Prevents a queue that stays long after a stall, when 800 clients send a request at once, and retry. A second and
     * a half later, other clients must be served in time again.
     */
    @Test void burstAfterAStallDoesNotDelayLaterRequests() {
        GatewaySimulation simulation = simulation(threeTenants(), 6, AdmissionMode.CLIENTS, 1000);
        List<RequestStream> others = addOtherClients(simulation);
        RequestStream burst = new RequestStream("blue", "late", CHEAP, 0, RetryPolicy.POLITE, 0, TEN_SECONDS)
                .withNewClientPerRequest();
        simulation.addBurst(3000, 800, burst, i -> 0);
        long[] countsBefore = new long[2];
        simulation.runAt(4500, () -> {
            countsBefore[0] = others.stream().mapToLong(s -> s.requests).sum();
            countsBefore[1] = others.stream().mapToLong(s -> s.servedInTime).sum();
        });
        simulation.runUntil(13_000);
        assertRulesHold(simulation);
        double shareAfter = (others.stream().mapToLong(s -> s.servedInTime).sum() - countsBefore[1])
                / (double) (others.stream().mapToLong(s -> s.requests).sum() - countsBefore[0]);
        assertTrue(shareAfter > 0.99, "share served in time after the burst: " + shareAfter);
        assertTrue(burst.utilityShare() > 0.25, "the burst's share of utility: " + burst.utilityShare());
    }

    /** Prevents a tenant with many clients, at twice the capacity, from taking what a tenant with one client needs. */
    @Test void largeTenantDoesNotReduceASmallTenantsShare() {
        Settings settings = settings(new Settings.Tenant("large", 1000), new Settings.Tenant("small", 1000));
        for (AdmissionMode admissionMode : List.of(AdmissionMode.CLIENTS, AdmissionMode.NOTHING)) {
            GatewaySimulation simulation = simulation(settings, 7, admissionMode, 1000);
            addEvenClients(simulation, "large", 100, CHEAP, 2, RetryPolicy.POLITE, TEN_SECONDS);
            List<RequestStream> small =
                    addEvenClients(simulation, "small", 1, CHEAP, 0.3, RetryPolicy.POLITE, TEN_SECONDS);
            simulation.runUntil(13_000);
            assertRulesHold(simulation);
            assertTrue(admissionMode == AdmissionMode.CLIENTS ? utilityShare(small) > 0.99 : utilityShare(small) < 0.9,
                    admissionMode + " " + utilityShare(small));
        }
    }

    /**
     * With shares by request count, expensive requests would get six times the work of cheap ones. The bounds allow
     * the inequality that remains with shares by work.
     */
    @Test void clientsShareByWorkAndNotByRequestCount() {
        GatewaySimulation simulation = simulation(threeTenants(), 8, AdmissionMode.CLIENTS, 1000);
        List<RequestStream> cheap = addEvenClients(simulation, "red", 4, CHEAP, 0.8, RetryPolicy.EAGER, TEN_SECONDS);
        List<RequestStream> expensive =
                addEvenClients(simulation, "red", 4, EXPENSIVE, 0.8, RetryPolicy.EAGER, TEN_SECONDS);
        simulation.runUntil(10_000);
        double cheapWork = cheap.stream().mapToDouble(s -> s.workNanos).sum();
        double expensiveWork = expensive.stream().mapToDouble(s -> s.workNanos).sum();
        assertTrue(cheapWork / expensiveWork > 0.5 && cheapWork / expensiveWork < 2.5, "work of cheap requests: "
                + cheapWork / TEN_SECONDS + ", of expensive ones: " + expensiveWork / TEN_SECONDS);
    }

    @Test void equalClientsAreServedEqually() {
        GatewaySimulation simulation = simulation(threeTenants(), 9, AdmissionMode.CLIENTS, 4000);
        List<RequestStream> streams =
                addEvenClients(simulation, "red", 100, CHEAP, 2, RetryPolicy.POLITE, TEN_SECONDS);
        simulation.runUntil(10_000);
        double index = jainIndex(streams.stream().mapToDouble(s -> s.served).toArray());
        assertTrue(index > 0.98, "Jain's fairness index: " + index);
    }

    /** Prevents a queue from staying long after a replica stops, with full queues, and restarts two seconds later. */
    @Test void lossAndReturnOfCapacityLeaveNoStandingQueue() {
        GatewaySimulation simulation = simulation(threeTenants(), 10, AdmissionMode.CLIENTS, 1000);
        List<RequestStream> others = addOtherClients(simulation);
        simulation.addStream(greedyStream("red", 20, RetryPolicy.EAGER));
        simulation.runAt(3000, () -> simulation.setReplicasUp(1, false));
        simulation.runAt(5000, () -> simulation.setReplicasUp(1, true));
        long[] waiting = new long[3];
        for (int i = 0; i < 3; i++) {
            int index = i;
            simulation.runAt(new int[] {4000, 6000, 8000}[i], () -> waiting[index] = queuedRpcs(simulation));
        }
        simulation.runUntil(13_000);
        assertRulesHold(simulation);
        // a second after each change, no more RPCs wait than are served within a soft deadline
        assertTrue(waiting[0] <= 0.4 * CAPACITY_PER_SECOND / 2 && waiting[1] <= 0.4 * CAPACITY_PER_SECOND
                && waiting[2] <= 0.4 * CAPACITY_PER_SECOND, Arrays.toString(waiting));
        assertTrue(utilityShare(others) > 0.75, "the others' share of utility: " + utilityShare(others));
    }

    /** Returns the column "waiting" of the first row of SHOW ways. */
    private static long queuedRpcs(GatewaySimulation simulation) {
        return Long.parseLong(((Stage) simulation.engine()).statisticsTable("ways").get(1)[4]);
    }

    @Test void runsWithTheSameSeedAreIdentical() {
        String[] runs = new String[2];
        for (int i = 0; i < 2; i++) {
            GatewaySimulation simulation = simulation(threeTenants(), 11, AdmissionMode.CLIENTS, 300);
            addOtherClients(simulation);
            simulation.addStream(greedyStream("red", 20, RetryPolicy.DEAF));
            simulation.runUntil(3000);
            StringBuilder tables = new StringBuilder();
            for (String table : List.of("tenants", "ways", "clients")) {
                ((Stage) simulation.engine()).statisticsTable(table)
                        .forEach(r -> tables.append(String.join(" ", r)).append('\n'));
            }
            runs[i] = tables.toString();
        }
        assertEquals(runs[0], runs[1]);
    }
}
