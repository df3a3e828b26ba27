package reedquay.fair;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reedquay.core.CallOut;
import reedquay.core.ListedMember;
import reedquay.core.LoadReport;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.Role;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.Stage;

/**
 * Tests the AdmissionController by itself, between a routing engine that holds each RPC until the test answers it and a
 * front that records the actions.
 */
class AdmissionControllerTest {
    private static final long MS = 1_000_000;
    private static final Method READ = method("read", Method.Consistency.ANY, Method.RetrySafety.IDEMPOTENT, 0);
    private static final Method WRITE = method("write", Method.Consistency.WRITE, Method.RetrySafety.NON_IDEMPOTENT,
            0.5);

    private static Method method(String name, Method.Consistency consistency, Method.RetrySafety retrySafety,
            double lateUtilityShare) {
        return new Method(name, consistency, 0, 400 * MS, 1500 * MS, 1, lateUtilityShare, retrySafety,
                Method.DeduplicationScope.ALL, 0);
    }

    /** A front for the controller that records its actions, with a simulated clock. */
    private static final class Harness extends Stage implements RoutingEngine {
        final AdmissionController controller;
        final Member member = new Member("m");
        final List<Rpc> admitted = new ArrayList<>();
        final List<Rpc> everAdmitted = new ArrayList<>();
        final Map<Rpc, Long> pushedBack = new HashMap<>();
        final Map<Rpc, Long> arrivedAt = new HashMap<>();
        long now = 1_000_000 * MS;
        long alarmAt = Long.MAX_VALUE;
        long lastId;

        Harness(int maxWaiting) {
            super(null);
            Settings settings = new Settings(3, "a", 0, 1, 5 * MS, List.of(READ, WRITE),
                    List.of(new Settings.Tenant("acme", 10)),
                    new Settings.Capabilities(true, false, true, true, true, 1000 * MS, 6, 250 * MS, false),
                    new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS, false),
                    new Settings.PositionSources(true, false, true, false, false), new Settings.Costs(0, 0, 0, 0, 0));
            controller = new AdmissionController(settings, new AdmissionSettings(maxWaiting, Map.of()), this);
            controller.setNext(new HoldingEngine(this));
            runBatch(() -> controller.membersListed(ListedMember.ListKind.FULL,
                    List.of(new ListedMember(member, "a", "s", 1, ListedMember.Phase.UP, true, 1, 0))));
        }

        /** Runs the input as one batch at the current time. */
        void runBatch(Runnable input) {
            controller.beginBatch(now);
            input.run();
            controller.endBatch();
        }

        /** Advances the clock and runs the wake-ups that are due. */
        void advance(long millis) {
            long until = now + millis * MS;
            while (alarmAt <= until) {
                now = Math.max(now, alarmAt);
                alarmAt = Long.MAX_VALUE;
                runBatch(() -> { });
            }
            now = until;
        }

        Rpc arrive(String clientId, Method method, long timeoutMillis) {
            Rpc rpc = new Rpc(++lastId, 1, null, now + timeoutMillis * MS, false, 0, "acme", method);
            rpc.clientId = clientId;
            arrivedAt.put(rpc, now);
            runBatch(() -> controller.rpcArrived(rpc));
            return rpc;
        }

        /** Answers an admitted RPC. */
        void answerOk(Rpc rpc) {
            assertTrue(admitted.remove(rpc));
            CallOut callOut = rpc.callOuts.get(0);
            callOut.ended = rpc.ended = true;
            runBatch(() -> controller.callOutEnded(callOut, Outcome.OK, now - callOut.sentAt, true,
                    LoadReport.NO_POSITION, Role.UNKNOWN, LoadReport.NONE));
        }

        /** Ends a call-out as rejected by its full member, the first sign of overload. */
        void reportMemberFull(Rpc rpc) {
            runBatch(() -> controller.callOutEnded(rpc.callOuts.get(0), Outcome.FULL, MS, false,
                    LoadReport.NO_POSITION, Role.UNKNOWN, LoadReport.NONE));
        }

        /** The number of RPCs that wait for admission. */
        long waiting() {
            return controller.statisticsTable("ways").stream().skip(1).mapToLong(r -> Long.parseLong(r[4])).sum();
        }

        /** Makes both traffic classes overloaded, each with four RPCs admitted and none waiting. */
        Harness overloaded() {
            for (int i = 0; i < 4; i++) {
                arrive("first" + i, READ, 1500);
                arrive("first" + i, WRITE, 1500);
            }
            admitted.forEach(this::reportMemberFull);
            return this;
        }

        @Override public void sendCallOut(CallOut callOut, long limit) { }

        @Override public void pushBack(Rpc rpc, long retryAfter) {
            assertFalse(rpc.ended, "rule 1: each RPC gets exactly one final answer");
            assertTrue(rpc.callOuts.isEmpty(), "an RPC that waits has never been sent to a member");
            rpc.ended = true;
            pushedBack.put(rpc, retryAfter);
            long waited = now - arrivedAt.get(rpc);
            assertTrue(waited <= (rpc.deadline - arrivedAt.get(rpc)) / 2, () -> "pushed back after " + waited
                    + " ns, more than half of " + (rpc.deadline - arrivedAt.get(rpc)));
        }

        // the last call counts; a clock of whole microseconds can fire a little early
        @Override public void scheduleWakeUp(long delay) { alarmAt = now + delay / 1000 * 1000; }

        @Override public void log(String line) { }
    }

    /** Sends a call-out for each RPC at once and leaves it open. */
    private static final class HoldingEngine implements RoutingEngine {
        private final Harness harness;

        HoldingEngine(Harness harness) { this.harness = harness; }

        @Override public void beginBatch(long now) { }

        @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) { }

        @Override public void rpcArrived(Rpc rpc) {
            assertFalse(rpc.ended, "an RPC was admitted after its final answer");
            harness.admitted.add(rpc);
            harness.everAdmitted.add(rpc);
            CallOut callOut = new CallOut(rpc, harness.member, harness.now);
            rpc.callOuts.add(callOut);
            ((RoutingActions) harness.controller).sendCallOut(callOut, 0);
        }

        @Override public void callOutEnded(CallOut callOut, Outcome outcome, long took, boolean ended, long position,
                Role role, LoadReport report) { }

        @Override public void connectionReady(CallOut callOut) { }

        @Override public void probeEnded(Member m, Outcome outcome, long took, LoadReport report) { }

        @Override public void clientGone(Rpc rpc) {
            assertTrue(harness.everAdmitted.contains(rpc), "the Router doesn't know RPCs that only waited");
            harness.admitted.remove(rpc);
        }

        @Override public void endBatch() { }
    }

    @Test void admitsEverythingWithoutOverload() {
        Harness harness = new Harness(50);
        for (int i = 0; i < 1000; i++) {
            harness.answerOk(harness.arrive("c" + i, i % 2 == 0 ? READ : WRITE, 1500));
            harness.advance(1);
        }
        assertEquals(1000, harness.everAdmitted.size());
        assertEquals(0, harness.waiting());
    }

    @Test void admitsWaitingRpcsOnFreeCapacityOrPushesThemBackWithinHalfTheirTime() {
        Harness harness = new Harness(50).overloaded();
        Rpc first = harness.arrive("a", READ, 1500);
        Rpc second = harness.arrive("b", READ, 1500);
        assertEquals(2, harness.waiting());
        while (!harness.everAdmitted.contains(first)) {
            harness.answerOk(harness.admitted.stream().filter(r -> r.method == READ).findFirst().get());
        }
        while (harness.everAdmitted.contains(second)) { // both may have been admitted; another one waits
            second = harness.arrive("b" + harness.lastId, READ, 1500);
        }
        harness.advance(400);
        assertTrue(harness.pushedBack.containsKey(second), "pushed back when it can no longer be answered in time");
        assertTrue(harness.pushedBack.get(second) > 0, "the pushback has a retry-after");
        Rpc shortTimeout = harness.arrive("c", READ, 100);
        harness.advance(50);
        assertTrue(harness.pushedBack.containsKey(shortTimeout), "pushed back within half of a short timeout");
    }

    /** Prevents an RPC without a client from being admitted, and from taking a place in the queue. */
    @Test void removesWaitingRpcWhoseClientLeaves() {
        Harness harness = new Harness(50).overloaded();
        Rpc abandoned = harness.arrive("a", WRITE, 1500);
        Rpc remaining = harness.arrive("b", WRITE, 1500);
        abandoned.ended = true;
        harness.runBatch(() -> harness.controller.clientGone(abandoned));
        assertEquals(1, harness.waiting());
        while (!harness.everAdmitted.contains(remaining)) {
            harness.answerOk(harness.admitted.stream().filter(r -> r.method == WRITE).findFirst().get());
        }
        assertFalse(harness.everAdmitted.contains(abandoned));
    }

    /** Prevents waiting RPCs from missing their deadlines at a shutdown, which shortens them. */
    @Test void answersWaitingRpcsInTimeAtShutdown() {
        Harness harness = new Harness(50).overloaded();
        List<Rpc> rpcs = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            rpcs.add(harness.arrive("c" + i, WRITE, i % 2 == 0 ? 60 : 3000));
        }
        rpcs.stream().filter(rpc -> !rpc.ended && rpc.deadline > harness.now + 60 * MS).forEach(rpc -> {
            rpc.deadline = harness.now + 60 * MS;
            harness.runBatch(() -> harness.controller.deadlineShortened(rpc));
        });
        harness.advance(61);
        assertTrue(rpcs.stream().allMatch(r -> r.ended || harness.everAdmitted.contains(r)));
        assertEquals(0, harness.waiting());
    }

    /** A new seed separates clients that shared a key; waiting RPCs keep their order and places. */
    @Test void changesHashSeedWhileRpcsWait() {
        Harness harness = new Harness(200).overloaded();
        Set<Long> keys = new HashSet<>();
        List<Rpc> rpcs = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            rpcs.add(harness.arrive("c" + i, WRITE, 60_000));
        }
        rpcs.forEach(r -> keys.add(((AdmissionEntry) r.stageState).clientKey));
        assertEquals(100, keys.size());
        harness.now += 64 * 400 * MS;
        harness.alarmAt = Long.MAX_VALUE;
        for (Rpc rpc : rpcs) { // none expires here
            ((AdmissionEntry) rpc.stageState).expiresAt += 1_000_000 * MS;
        }
        long waitingBefore = harness.waiting();
        harness.runBatch(() -> { });
        rpcs.stream().filter(rpc -> !rpc.ended && !harness.everAdmitted.contains(rpc))
                .forEach(r -> assertTrue(keys.add(((AdmissionEntry) r.stageState).clientKey),
                        "a new key for each client"));
        assertEquals(waitingBefore, harness.waiting() + harness.pushedBack.size());
    }

    /** On generated inputs each RPC is admitted once or pushed back once, or its client leaves; no place leaks. */
    @Test void endsEachRpcExactlyOnce() {
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Harness harness = new Harness(1 + random.nextInt(40)).overloaded();
            List<Rpc> rpcs = new ArrayList<>();
            Set<Rpc> abandoned = new HashSet<>();
            for (int i = 0; i < 5000; i++) {
                harness.advance(random.nextInt(6));
                int action = random.nextInt(10);
                if (action < 6) {
                    rpcs.add(harness.arrive("c" + random.nextInt(30), random.nextBoolean() ? READ : WRITE,
                            20 + random.nextInt(1500)));
                } else if (action < 8 && !harness.admitted.isEmpty()) {
                    harness.answerOk(harness.admitted.get(random.nextInt(harness.admitted.size())));
                } else if (action == 8 && !harness.admitted.isEmpty()) {
                    harness.reportMemberFull(harness.admitted.get(random.nextInt(harness.admitted.size())));
                } else if (!rpcs.isEmpty()) {
                    Rpc rpc = rpcs.get(random.nextInt(rpcs.size()));
                    if (!rpc.ended) {
                        rpc.ended = true;
                        abandoned.add(rpc);
                        harness.runBatch(() -> harness.controller.clientGone(rpc));
                    }
                }
            }
            harness.advance(2000);
            while (!harness.admitted.isEmpty()) {
                harness.answerOk(harness.admitted.get(0));
            }
            assertEquals(0, harness.waiting(), "seed " + seed);
            for (Rpc rpc : rpcs) {
                assertTrue(rpc.ended, "seed " + seed);
                assertFalse(harness.pushedBack.containsKey(rpc) && harness.everAdmitted.contains(rpc), "seed " + seed);
                assertTrue(harness.pushedBack.containsKey(rpc) || harness.everAdmitted.contains(rpc)
                        || abandoned.contains(rpc), "seed " + seed);
            }
            assertTrue(harness.controller.statisticsTable("ways").stream().skip(1).allMatch(r -> r[3].equals("0")),
                    "no RPC is in flight");
        }
    }
}
