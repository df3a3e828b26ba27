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
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.ListedMember;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.LoadReport;
import reedquay.core.Role;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.Stage;

/** The door alone: behind it decisions that hold what they get until the test says, before it a plain record. */
class AdmissionControllerTest {
    private static final long MS = 1_000_000;
    private static final Method READ = method("read", Method.Consistency.ANY, Method.RetrySafety.IDEMPOTENT, 0);
    private static final Method WRITE = method("write", Method.Consistency.WRITE, Method.RetrySafety.NON_IDEMPOTENT, 0.5);

    private static Method method(String name, Method.Consistency need, Method.RetrySafety effect, double late) {
        return new Method(name, need, 0, 400 * MS, 1500 * MS, 1, late, effect, Method.DeduplicationScope.ALL, 0);
    }

    /** The world on both sides of a door. */
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

        Harness(int waiting) {
            super(null);
            Settings settings = new Settings(3, "a", 0, 1, 5 * MS, List.of(READ, WRITE),
                    List.of(new Settings.Tenant("acme", 10)),
                    new Settings.Capabilities(true, false, true, true, true, 1000 * MS, 6, 250 * MS, false),
                    new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS, false),
                    new Settings.PositionSources(true, false, true, false, false), new Settings.Costs(0, 0, 0, 0, 0));
            controller = new AdmissionController(settings, new AdmissionSettings(waiting, Map.of()), this);
            controller.setNext(new HoldingDecider(this));
            batch(() -> controller.membersListed(ListedMember.ListKind.FULL,
                    List.of(new ListedMember(member, "a", "s", 1, ListedMember.Phase.UP, true, 1, 0))));
        }

        void batch(Runnable what) {
            controller.beginBatch(now);
            what.run();
            controller.endBatch();
        }

        void advance(long millis) {
            long until = now + millis * MS;
            while (alarmAt <= until) {
                now = Math.max(now, alarmAt);
                alarmAt = Long.MAX_VALUE;
                batch(() -> { });
            }
            now = until;
        }

        Rpc arrive(String caller, Method method, long wait) {
            Rpc rpc = new Rpc(++lastId, 1, null, now + wait * MS, false, 0, "acme", method);
            rpc.clientId = caller;
            arrivedAt.put(rpc, now);
            batch(() -> controller.rpcArrived(rpc));
            return rpc;
        }

        void answerOk(Rpc rpc) {
            assertTrue(admitted.remove(rpc));
            CallOut call = rpc.callOuts.get(0);
            call.ended = rpc.ended = true;
            batch(() -> controller.callOutEnded(call, Outcome.OK, now - call.sentAt, true, LoadReport.NO_POSITION, Role.UNKNOWN,
                    LoadReport.NONE));
        }

        void reportMemberFull(Rpc rpc) { // a member has no room: the first sign of pressure
            batch(() -> controller.callOutEnded(rpc.callOuts.get(0), Outcome.FULL, MS, false, LoadReport.NO_POSITION, Role.UNKNOWN,
                    LoadReport.NONE));
        }

        long waiting() {
            return controller.statisticsTable("ways").stream().skip(1).mapToLong(r -> Long.parseLong(r[4])).sum();
        }

        /** Pressed, with four inside at the most and nothing waiting. */
        Harness overloaded() {
            for (int i = 0; i < 4; i++) {
                arrive("first" + i, READ, 1500);
                arrive("first" + i, WRITE, 1500);
            }
            admitted.forEach(this::reportMemberFull);
            return this;
        }

        @Override public void sendCallOut(CallOut callOut, long limit) { }

        @Override public void pushBack(Rpc rpc, long after) {
            assertFalse(rpc.ended, "one final answer");
            assertTrue(rpc.callOuts.isEmpty(), "what waits has never run");
            rpc.ended = true;
            pushedBack.put(rpc, after);
            long waited = now - arrivedAt.get(rpc);
            assertTrue(waited <= (rpc.deadline - arrivedAt.get(rpc)) / 2, () -> "half of its time is gone: " + waited + " of "
                    + (rpc.deadline - arrivedAt.get(rpc)));
        }

        @Override public void scheduleWakeUp(long delay) { alarmAt = now + delay / 1000 * 1000; } // the last word counts

        @Override public void log(String line) { }
    }

    /** Calls each RPC out at once and holds it. */
    private static final class HoldingDecider implements RoutingEngine {
        private final Harness harness;

        HoldingDecider(Harness desk) { this.harness = desk; }

        @Override public void beginBatch(long now) { }

        @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) { }

        @Override public void rpcArrived(Rpc rpc) {
            assertFalse(rpc.ended, "nothing goes in after its answer");
            harness.admitted.add(rpc);
            harness.everAdmitted.add(rpc);
            CallOut call = new CallOut(rpc, harness.member, harness.now);
            rpc.callOuts.add(call);
            ((RoutingActions) harness.controller).sendCallOut(call, 0);
        }

        @Override public void callOutEnded(CallOut c, Outcome o, long took, boolean ended, long p, Role r, LoadReport report) { }

        @Override public void connectionReady(CallOut callOut) { }

        @Override public void probeEnded(Member m, Outcome outcome, long took, LoadReport report) { }

        @Override public void clientGone(Rpc rpc) {
            assertTrue(harness.everAdmitted.contains(rpc), "the Router knows nothing of what only waited");
            harness.admitted.remove(rpc);
        }

        @Override public void endBatch() { }
    }

    @Test void admitsEverythingWithoutOverload() {
        Harness d = new Harness(50);
        for (int i = 0; i < 1000; i++) {
            d.answerOk(d.arrive("c" + i, i % 2 == 0 ? READ : WRITE, 1500));
            d.advance(1);
        }
        assertEquals(1000, d.everAdmitted.size());
        assertEquals(0, d.waiting());
    }

    @Test void admitsWaitingRpcsOnFreeCapacityOrPushesThemBackWithinHalfTheirTime() {
        Harness d = new Harness(50).overloaded();
        Rpc one = d.arrive("a", READ, 1500);
        Rpc two = d.arrive("b", READ, 1500);
        assertEquals(2, d.waiting());
        while (!d.everAdmitted.contains(one)) {
            d.answerOk(d.admitted.stream().filter(r -> r.method == READ).findFirst().get());
        }
        while (d.everAdmitted.contains(two)) { // both may have found room: one more waits
            two = d.arrive("b" + d.lastId, READ, 1500);
        }
        d.advance(400);
        assertTrue(d.pushedBack.containsKey(two), "it can no longer be in time");
        assertTrue(d.pushedBack.get(two) > 0, "and is told when to come");
        Rpc hasty = d.arrive("c", READ, 100);
        d.advance(50);
        assertTrue(d.pushedBack.containsKey(hasty), "of a client that waits for less, half of that");
    }

    @Test void removesWaitingRpcWhoseClientLeaves() {
        Harness d = new Harness(50).overloaded();
        Rpc gone = d.arrive("a", WRITE, 1500);
        Rpc stays = d.arrive("b", WRITE, 1500);
        gone.ended = true;
        d.batch(() -> d.controller.clientGone(gone));
        assertEquals(1, d.waiting());
        while (!d.everAdmitted.contains(stays)) {
            d.answerOk(d.admitted.stream().filter(r -> r.method == WRITE).findFirst().get());
        }
        assertFalse(d.everAdmitted.contains(gone));
    }

    /** A stop makes all due soon: what waits is answered in time, not kept. */
    @Test void answersWaitingRpcsInTimeAtShutdown() {
        Harness d = new Harness(50).overloaded();
        List<Rpc> last = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            last.add(d.arrive("c" + i, WRITE, i % 2 == 0 ? 60 : 3000));
        }
        last.stream().filter(r -> !r.ended && r.deadline > d.now + 60 * MS).forEach(r -> {
            r.deadline = d.now + 60 * MS;
            d.batch(() -> d.controller.deadlineShortened(r));
        });
        d.advance(61);
        assertTrue(last.stream().allMatch(r -> r.ended || d.everAdmitted.contains(r)));
        assertEquals(0, d.waiting());
    }

    /** Clients that share a key now share none after the seed has changed; what waits keeps its order and place. */
    @Test void changesHashSeedWhileRpcsWait() {
        Harness d = new Harness(200).overloaded();
        Set<Long> keys = new HashSet<>();
        List<Rpc> waits = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            waits.add(d.arrive("c" + i, WRITE, 60_000));
        }
        waits.forEach(r -> keys.add(((AdmissionEntry) r.filterState).clientKey));
        assertEquals(100, keys.size());
        d.now += 64 * 400 * MS;
        d.alarmAt = Long.MAX_VALUE;
        for (Rpc r : waits) { // nobody is late for this
            ((AdmissionEntry) r.filterState).expiresAt += 1_000_000 * MS;
        }
        long before = d.waiting();
        d.batch(() -> { });
        waits.stream().filter(r -> !r.ended && !d.everAdmitted.contains(r))
                .forEach(r -> assertTrue(keys.add(((AdmissionEntry) r.filterState).clientKey), "another key"));
        assertEquals(before, d.waiting() + d.pushedBack.size());
    }

    /** On generated inputs: each RPC goes in once, is pushed back once, or its client left; places never leak. */
    @Test void endsEachRpcExactlyOnce() {
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Harness d = new Harness(1 + random.nextInt(40)).overloaded();
            List<Rpc> all = new ArrayList<>();
            Set<Rpc> left = new HashSet<>();
            for (int i = 0; i < 5000; i++) {
                d.advance(random.nextInt(6));
                int what = random.nextInt(10);
                if (what < 6) {
                    all.add(d.arrive("c" + random.nextInt(30), random.nextBoolean() ? READ : WRITE,
                            20 + random.nextInt(1500)));
                } else if (what < 8 && !d.admitted.isEmpty()) {
                    d.answerOk(d.admitted.get(random.nextInt(d.admitted.size())));
                } else if (what == 8 && !d.admitted.isEmpty()) {
                    d.reportMemberFull(d.admitted.get(random.nextInt(d.admitted.size())));
                } else if (!all.isEmpty()) {
                    Rpc rpc = all.get(random.nextInt(all.size()));
                    if (!rpc.ended) {
                        rpc.ended = true;
                        left.add(rpc);
                        d.batch(() -> d.controller.clientGone(rpc));
                    }
                }
            }
            d.advance(2000);
            while (!d.admitted.isEmpty()) {
                d.answerOk(d.admitted.get(0));
            }
            assertEquals(0, d.waiting(), "seed " + seed);
            for (Rpc rpc : all) {
                assertTrue(rpc.ended, "seed " + seed);
                assertFalse(d.pushedBack.containsKey(rpc) && d.everAdmitted.contains(rpc), "seed " + seed);
                assertTrue(d.pushedBack.containsKey(rpc) || d.everAdmitted.contains(rpc) || left.contains(rpc), "seed " + seed);
            }
            assertTrue(d.controller.statisticsTable("ways").stream().skip(1).allMatch(r -> r[3].equals("0")), "all have left");
        }
    }
}
