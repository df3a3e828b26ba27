package reedquay.route;

import static org.junit.jupiter.api.Assertions.*;
import static reedquay.route.TestFront.*;

import java.util.List;
import org.junit.jupiter.api.Test;
import reedquay.core.*;

/** Tests single decisions of the Router, each on a few inputs in simulated time. */
class RouterTest {
    private final TestFront front = TestFront.withTwoReplicas();

    @Test void boundedReadSelectsReplicaWithinMaxAge() {
        front.reportPosition("r1", 500);
        front.reportPosition("r2", 20);
        for (int i = 0; i < 5; i++) {
            assertEquals("r2", front.lastCallOut(front.arrive(BOUNDED, 0)).member.id);
            front.answer(front.inFlight.get(0), Outcome.OK, LoadReport.NO_POSITION, Role.REPLICA);
        }
    }

    @Test void heldReadIsSentOnceAProbeFindsAFreshReplica() {
        front.reportPosition("r1", 500);
        front.reportPosition("r2", 600);
        Rpc rpc = front.arrive(BOUNDED, 0);
        assertTrue(rpc.callOuts.isEmpty());
        front.reportPosition("r1", 10);
        assertEquals("r1", front.lastCallOut(rpc).member.id);
    }

    @Test void readIsPushedBackWhenAllReplicasStayTooStale() {
        front.reportPosition("r1", 5000);
        front.reportPosition("r2", 5000);
        Rpc rpc = front.arrive(BOUNDED, 0);
        front.advance(300);
        assertTrue(front.pushedBack.contains(rpc) && rpc.callOuts.isEmpty());
    }

    /** Prevents a call-out for an RPC whose client gives up before it arrives, since it waited to be read. */
    @Test void rpcPastItsDeadlineAtItsArrivalIsPushedBack() {
        Rpc rpc = new Rpc(999, 1, null, front.now, false, 0, "small", TestFront.NON_IDEMPOTENT);
        front.runBatch(() -> front.router.rpcArrived(rpc));
        assertTrue(front.pushedBack.contains(rpc) && rpc.callOuts.isEmpty());
    }

    @Test void primaryServesReadsWhenNoReplicaIsLeft() {
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("p", true)));
        assertEquals("p", front.lastCallOut(front.arrive(ANY, 0)).member.id);
    }

    @Test void sessionReadNeedsReplicaPastItsLastWrite() {
        front.reportPosition("r1", 100);
        front.reportPosition("r2", 900);
        assertEquals("r1", front.lastCallOut(front.arrive(SESSION, 700 * MS)).member.id);
        assertTrue(front.arrive(SESSION, 50 * MS).callOuts.isEmpty());
    }

    @Test void writesFollowThePrimaryThatAnswersReport() {
        Rpc write = front.arrive(WRITE, 0);
        assertEquals("p", front.lastCallOut(write).member.id);
        front.answer(front.lastCallOut(write), Outcome.MISS, front.now - 10 * MS, Role.REPLICA);
        CallOut second = front.lastCallOut(write);
        assertNotEquals("p", second.member.id);
        front.answer(second, Outcome.OK, front.now, Role.PRIMARY);
        assertEquals(second.member, front.lastCallOut(front.arrive(WRITE, 0)).member);
    }

    @Test void writeIsHeldAfterOneRoundOfMissesUntilThePrimaryIsKnown() {
        Rpc write = front.arrive(WRITE, 0);
        while (!front.inFlight.isEmpty()) {
            front.answer(front.inFlight.get(0), Outcome.MISS, front.now - 10 * MS, Role.REPLICA);
        }
        assertEquals(3, write.callOuts.size());
        front.advance(300);
        Rpc read = front.arrive(ANY, 0);
        front.answer(front.lastCallOut(read), Outcome.OK, front.now, Role.PRIMARY);
        assertEquals(front.lastCallOut(read).member, front.lastCallOut(write).member);
    }

    @Test void nonIdempotentRpcIsAbortedWhenItMayHaveRun() {
        Rpc rpc = front.arrive(NON_IDEMPOTENT, 0);
        front.answer(front.lastCallOut(rpc), Outcome.RESET, LoadReport.NO_POSITION, Role.UNKNOWN);
        assertEquals(1, rpc.callOuts.size());
        assertTrue(front.aborted.contains(rpc));
    }

    /**
     * A write that may have run is retried within its window of 1000 ms, here in vain; once that has passed it is
     * aborted.
     */
    @Test void tokenedRpcIsRetriedOnlyWithinItsDeduplicationWindow() {
        Rpc rpc = front.arrive(WRITE, 0);
        front.answer(front.lastCallOut(rpc), Outcome.RESET, LoadReport.NO_POSITION, Role.UNKNOWN);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                front.entry("p", ListedMember.Phase.DRAINING, true, 0)));
        while (!front.inFlight.isEmpty()) {
            front.answer(front.inFlight.get(0), Outcome.MISS, LoadReport.NO_POSITION, Role.REPLICA);
        }
        front.advance(990);
        assertFalse(rpc.ended);
        front.advance(10);
        assertTrue(front.aborted.contains(rpc));
    }

    /**
     * Prevents a member that resets connections but lives on from getting too little traffic, which happens when it is
     * taken for dead and, after its return, for cold.
     */
    @Test void memberRegainsFullTrafficAfterAReset() {
        Rpc first = front.arrive(ANY, 0);
        Member member = front.lastCallOut(first).member;
        front.answer(front.lastCallOut(first), Outcome.RESET, LoadReport.NO_POSITION, Role.UNKNOWN);
        front.advance(1000);
        int servedAfterReset = 0;
        for (int i = 0; i < 20; i++) {
            servedAfterReset += front.serve(ANY) == member ? 1 : 0;
        }
        assertTrue(servedAfterReset > 5);
    }

    /**
     * Prevents the gateway from backing off from one healthy member after the other, which happens when malformed
     * answers and broken pooled connections count against the member. After a reset it does back off.
     */
    @Test void malformedAnswerOrStaleConnectionCausesNoBackOff() {
        for (Outcome outcome : new Outcome[] {Outcome.SPOILT, Outcome.STALE, Outcome.RESET}) {
            TestFront front = TestFront.withTwoReplicas();
            Rpc write = front.arrive(NON_IDEMPOTENT, 0);
            front.answer(front.lastCallOut(write), outcome, LoadReport.NO_POSITION, Role.UNKNOWN);
            assertTrue(front.aborted.contains(write), "the write may have run, so it is aborted");
            assertEquals(outcome != Outcome.RESET, front.arrive(NON_IDEMPOTENT, 0).callOuts.size() == 1);
        }
    }

    /**
     * Prevents a leak, which happens when members are replaced all day and those that are gone are kept for ever. The
     * budget of a cold member would then be computed from the number of all members that ever were.
     */
    @Test void goneMembersAreForgottenOnceUnused() {
        front.answer(front.lastCallOut(front.arrive(WRITE, 0)), Outcome.OK, front.now, Role.PRIMARY);
        CallOut call = front.lastCallOut(front.arrive(ANY, 0));
        front.runBatch(() -> front.router.probeEnded(front.member("r1"), Outcome.OK, MS, LoadReport.NONE));
        front.runBatch(() -> front.router.probeEnded(front.member("r2"), Outcome.OK, MS, LoadReport.NONE));
        front.runBatch(() -> front.router.probeEnded(front.member("p"), Outcome.OK, MS, LoadReport.NONE));
        ListedMember.Phase gone = ListedMember.Phase.GONE;
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.entry("r1", gone, false, 0),
                front.entry("r2", gone, false, 0), front.entry("p", gone, true, 0)));
        assertEquals(2, front.members.size(),
                "the member with a call-out in flight, and the one that was sent a call-out just now");
        front.advance(20_000);
        front.answer(call, Outcome.OK, front.now, Role.REPLICA);
        for (int i = 0; i < 1000; i++) {
            String id = "new" + i;
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.up(id, false)));
            front.runBatch(() -> front.router.probeEnded(front.member(id), Outcome.OK, MS, LoadReport.NONE));
            assertEquals(1, front.arrive(ANY, 0).callOuts.stream().filter(c -> c.member.id.equals(id)).count());
            front.answer(front.inFlight.get(0), Outcome.OK, front.now, Role.REPLICA);
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.entry(id, gone, false, 0)));
            front.advance(100);
        }
        assertTrue(front.members.size() < 50,
                "only members of the last seconds, whose answers count for rule 4 (cold members)");
        front.advance(5000);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES));
        assertEquals(0, front.members.size());
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("r1", false)));
        assertEquals("r1", front.lastCallOut(front.arrive(ANY, 0)).member.id, "a member that is listed again serves");
    }

    /**
     * Prevents stale session reads, which happen when a list still names an old primary, no replica is left, and the
     * listed primary is used before it has reported its role.
     */
    @Test void onlyAPrimaryThatReportedItsRoleServesSessionReads() {
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                front.entry("r1", ListedMember.Phase.GONE, false, 0),
                front.entry("r2", ListedMember.Phase.GONE, false, 0)));
        assertEquals(0, front.arrive(SESSION, 10 * MS).callOuts.size());
        CallOut any = front.lastCallOut(front.arrive(ANY, 0));
        assertEquals("p", any.member.id);
        front.answer(any, Outcome.OK, front.now, Role.PRIMARY);
        assertEquals("p", front.lastCallOut(front.arrive(SESSION, 10 * MS)).member.id);
    }

    /**
     * Returns how many of a hundred gateways with little traffic send a read to the primary. The replica's last report,
     * reportAgeMillis before the read, showed a lag of lagMillis; the primary took writeMillis for a write.
     */
    private static int gatewaysReadingFromPrimary(boolean probesReportPositions, Role reportedRole, long lagMillis,
            long reportAgeMillis, long writeMillis, Method method) {
        return gatewaysReadingFromPrimary(probesReportPositions, reportedRole, lagMillis, reportAgeMillis, writeMillis,
                method, false);
    }

    /** The same, where the read is a retry or a first attempt. */
    private static int gatewaysReadingFromPrimary(boolean probesReportPositions, Role reportedRole, long lagMillis,
            long reportAgeMillis, long writeMillis, Method method, boolean retry) {
        int readsFromPrimary = 0;
        for (int index = 0; index < 100; index++) {
            TestFront front = new TestFront(true, true, probesReportPositions, false, index, 100);
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CACHED, front.up("p", true),
                    front.up("r", false)));
            CallOut write = front.lastCallOut(front.arrive(WRITE, 0));
            front.advance(writeMillis);
            front.answer(write, Outcome.OK, front.now, reportedRole);
            for (CallOut any = null; any == null || !any.member.id.equals("r"); ) {
                any = front.lastCallOut(front.arrive(ANY, 0));
                front.answer(any, Outcome.OK, front.now - lagMillis * MS, Role.UNKNOWN);
            }
            front.advance(reportAgeMillis);
            Rpc read = front.arrive(method, 0, retry, null);
            front.advance(101);
            readsFromPrimary += read.callOuts.isEmpty() ? 0 : 1;
            assertTrue(read.callOuts.isEmpty() ? front.pushedBack.contains(read)
                    : front.lastCallOut(read).member.id.equals("p"), "either pushed back or sent to the primary");
        }
        return readsFromPrimary;
    }

    /**
     * Prevents all bounded reads from being pushed back, which happens where each gateway gets few answers, whose
     * positions are too old to show which replicas are fresh enough.
     */
    @Test void boundedReadGoesToFastPrimaryOnlyWhenReplicaLagIsUnknown() {
        assertTrue(gatewaysReadingFromPrimary(false, Role.PRIMARY, 10, 1000, 60, BOUNDED) > 80);
        assertEquals(0, gatewaysReadingFromPrimary(true, Role.PRIMARY, 10, 1000, 60, BOUNDED),
                "a probe would report the lag");
        assertTrue(gatewaysReadingFromPrimary(false, Role.UNKNOWN, 10, 1000, 60, BOUNDED) > 80,
                "listed as primary, and no answer says otherwise");
        assertEquals(0, gatewaysReadingFromPrimary(false, Role.REPLICA, 10, 1000, 60, BOUNDED),
                "it reported that it is a replica");
        assertEquals(0, gatewaysReadingFromPrimary(false, Role.PRIMARY, 400, 1000, 60, BOUNDED),
                "the replica was reported to lag");
        assertEquals(0, gatewaysReadingFromPrimary(false, Role.PRIMARY, 280, 20, 60, BOUNDED),
                "the replica reported just now");
        assertTrue(gatewaysReadingFromPrimary(false, Role.PRIMARY, 10, 1000, 900, BOUNDED) < 20,
                "the primary answers slowly");
        assertTrue(gatewaysReadingFromPrimary(false, Role.PRIMARY, 10, 1000, 60, LOW_UTILITY) > 80,
                "a fast primary takes reads of low utility too");
        int retries = gatewaysReadingFromPrimary(false, Role.PRIMARY, 10, 1000, 60, BOUNDED, true);
        assertTrue(retries > 10 && retries < 50, "retries are sent too, but less than first attempts: " + retries);
        int highUtility = gatewaysReadingFromPrimary(false, Role.PRIMARY, 10, 1000, 160, BOUNDED);
        int lowUtility = gatewaysReadingFromPrimary(false, Role.PRIMARY, 10, 1000, 160, LOW_UTILITY);
        assertTrue(lowUtility * 2 > highUtility && lowUtility * 10 < highUtility * 9,
                "reads of half the utility are sent less: " + lowUtility + " compared with " + highUtility);
    }

    /**
     * Prevents the role of a listed primary from staying unknown until the next write, which happens where probes
     * report nothing. Reads that accept any lag are sent there too, until the role is known.
     */
    @Test void readsOfAnyLagLearnTheRoleOfAnUnknownPrimary() {
        int sentToPrimary = 0;
        for (int index = 0; index < 100; index++) {
            TestFront front = new TestFront(true, true, false, false, index, 100);
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CACHED, front.up("p", true),
                    front.up("r", false)));
            sentToPrimary += front.serve(ANY).id.equals("p") ? 1 : 0;
        }
        assertTrue(sentToPrimary > 20 && sentToPrimary < 80, "reads sent to the primary: " + sentToPrimary);
    }

    /**
     * Prevents the loss of live members that a list calls gone. Where gone members stay usable they are kept, unless
     * ejected for long.
     */
    @Test void goneMemberIsKeptWhereItStaysUsable() {
        TestFront front = TestFront.withTwoReplicas(true);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("p", true)));
        assertEquals(3, front.members.size());
        assertNotEquals("p", front.serve(ANY).id);
    }

    @Test void silentMemberIsEjectedAndItsReadFailsOver() {
        Rpc rpc = front.arrive(ANY, 0);
        front.advance(600);
        assertEquals(2, rpc.callOuts.stream().map(c -> c.member).distinct().count());
    }

    @Test void withoutHedgingASilentCallOutIsCancelledBeforeTheNext() {
        TestFront front = new TestFront(false, true, true, false);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("r1", false),
                front.up("r2", false)));
        Rpc rpc = front.arrive(ANY, 0);
        front.advance(1000);
        assertEquals(1, rpc.callOuts.size());
        assertEquals(1, front.cancelled.stream().distinct().count());
        front.answer(rpc.callOuts.get(0), Outcome.CANCELLED, LoadReport.NO_POSITION, Role.UNKNOWN);
        assertEquals(2, rpc.callOuts.size());
    }

    /**
     * Prevents each gateway from sending one trial request after the other to a hung member, which happens because such
     * a member still answers probes.
     */
    @Test void trialsOfASilentMemberGrowRarerThoughProbesSucceed() {
        int early = 0, late = 0;
        for (int i = 0; i < 300; i++) {
            CallOut call = front.lastCallOut(front.arrive(ANY, 0));
            boolean silent = call.member.id.equals("r1");
            early += silent && i < 100 ? 1 : 0;
            late += silent && i >= 200 ? 1 : 0;
            front.advance(100);
            front.probes.forEach(m -> front.runBatch(() -> front.router.probeEnded(m, Outcome.OK, MS,
                    LoadReport.NONE)));
            front.probes.clear();
            front.inFlight.stream().filter(c -> !c.member.id.equals("r1")).toList()
                    .forEach(c -> front.answer(c, Outcome.OK, front.now, Role.UNKNOWN));
        }
        assertTrue(early > 1 && late <= 2, "sent to the silent member at first " + early + ", later " + late);
    }

    /**
     * Prevents a member that rejects work at once from drawing ever more call-outs, which happens because it looks fast
     * and idle.
     */
    @Test void gatewayBacksOffFromAMemberThatRejectsWork() {
        Rpc first = front.arrive(ANY, 0);
        Member full = front.lastCallOut(first).member;
        front.answer(front.lastCallOut(first), Outcome.FULL, LoadReport.NO_POSITION, Role.UNKNOWN);
        for (int i = 0; i < 6; i++) {
            assertNotEquals(full, front.serve(ANY));
        }
    }

    /**
     * Prevents writes from being held in vain, which happens when the gateway backs off from the primary for longer
     * than a write may be held: they would be pushed back only when half of their time has passed. A write that arrives
     * later in the back-off is held, and sent at its end.
     */
    @Test void writeIsPushedBackAtOnceWhenThePrimaryBacksOffBeyondItsHold() {
        for (int i = 0; i < 5; i++) {
            Rpc write = front.arrive(NON_IDEMPOTENT, 0);
            front.answer(front.lastCallOut(write), Outcome.ERROR, LoadReport.NO_POSITION, Role.PRIMARY);
            front.advance(i < 4 ? 100 << i : 0);
        }
        Rpc futile = front.arrive(NON_IDEMPOTENT, 0);
        front.advance(10);
        assertTrue(front.pushedBack.contains(futile));
        front.advance(400);
        Rpc held = front.arrive(NON_IDEMPOTENT, 0);
        front.advance(1250);
        assertEquals(1, held.callOuts.size());
    }

    /**
     * Prevents a needless reduction of the concurrency limit of a member that is slow even without a queue: fewer
     * call-outs do not make it faster.
     */
    @Test void slowMemberWithoutAQueueKeepsItsConcurrencyLimit() {
        for (int gatewayCount : new int[] {2, 100}) {
            TestFront front = new TestFront(true, true, true, false, 0, gatewayCount);
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("p", true),
                    front.up("r1", false)));
            for (int i = 0; i < 12; i++) {
                Rpc read = front.arrive(ANY, 0);
                front.advance(140);
                front.answer(front.lastCallOut(read), Outcome.OK, front.now, Role.UNKNOWN);
            }
            assertEquals(1, front.arrive(ANY, 0).callOuts.size());
            assertEquals(gatewayCount == 2 ? 1 : 0, front.arrive(ANY, 0).callOuts.size());
        }
    }

    /** Prevents retries whose soft deadline has passed from taking the capacity that first attempts need. */
    @Test void retriedReadsAreShedUnderOverload() {
        front.reportPosition("r1", 500);
        front.reportPosition("r2", 500);
        Rpc first = front.arrive(BOUNDED, 0);
        assertTrue(front.arrive(ANY, 0, true, null).ended);
        front.reportPosition("r1", 10);
        assertFalse(first.callOuts.isEmpty());
        front.advance(400);
        assertFalse(front.arrive(ANY, 0, true, null).ended);
    }

    @Test void readsOverTheTenantQuotaAreShedUnderOverload() {
        assertFalse(front.arrive(ANY, 0, false, "small").ended);
        front.reportPosition("r1", 500);
        front.reportPosition("r2", 500);
        front.arrive(BOUNDED, 0);
        assertTrue(front.arrive(ANY, 0, false, "small").ended);
        assertFalse(front.arrive(ANY, 0, false, "other").ended);
    }

    /**
     * Prevents every read of a tenant from being taken to exceed its quota, which happens with many gateways, where
     * each one's part of the quota is less than one RPC.
     */
    @Test void quotaBelowOneRpcStillAdmitsARead() {
        TestFront front = new TestFront(true, true, true, false, 0, 100);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("p", true), front.up("r1", false)));
        front.advance(20_000);
        front.arrive(BOUNDED, 0);
        assertFalse(front.arrive(ANY, 0, false, "small").ended);
    }

    /**
     * A bounded read that is held shows overload: an RPC whose call-out fails is then pushed back rather than retried.
     */
    @Test void noRetryUnderOverload() {
        front.reportPosition("r1", 500);
        front.reportPosition("r2", 500);
        Rpc read = front.arrive(ANY, 0);
        front.arrive(BOUNDED, 0);
        front.answer(front.lastCallOut(read), Outcome.RESET, LoadReport.NO_POSITION, Role.UNKNOWN);
        assertEquals(1, read.callOuts.size());
        assertTrue(front.pushedBack.contains(read));
    }

    /**
     * Prevents a write that could be pushed back from being aborted, which happens when it is sent just before its
     * deadline.
     */
    @Test void noCallOutIsSentTooLateForItsAnswer() {
        Rpc write = front.arrive(WRITE, 0);
        while (!front.inFlight.isEmpty()) {
            front.answer(front.inFlight.get(0), Outcome.MISS, LoadReport.NO_POSITION, Role.REPLICA);
        }
        front.advance(1495);
        assertEquals(3, write.callOuts.size());
        assertTrue(front.pushedBack.contains(write) && front.now < write.deadline);
    }

    /**
     * Prevents the overload of a cold member (rule 4), which happens when each of a hundred gateways sends it one RPC
     * in each window.
     */
    @Test void coldMemberGetsFewCallOutsFromAllGatewaysTogether() {
        int sent = 0;
        for (int index = 0; index < 100; index++) {
            TestFront front = new TestFront(true, true, true, false, index, 100);
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("p", true),
                    front.entry("r1", ListedMember.Phase.UP, false, front.now)));
            for (int window = 0; window < 4; window++) {
                front.arrive(ANY, 0);
                front.advance(1000);
            }
            sent += front.inFlight.size();
        }
        assertTrue(sent > 0 && sent < 20, "call-outs sent: " + sent);
    }

    /**
     * Prevents every read from sending another probe, which happens while reports come late: each probe finds the same
     * old position.
     */
    @Test void memberWithLateReportsIsProbedRarely() {
        TestFront front = new TestFront(true, false, true, false);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("p", true), front.up("r1", false)));
        for (int i = 0; i < 50; i++) {
            front.probes.forEach(m -> front.reportPosition(m.id, 2000));
            front.probes.clear();
            front.arrive(BOUNDED, 0);
            front.advance(100);
        }
        assertTrue(front.actionLog.stream().filter(d -> d.endsWith("probe r1")).count() < 10);
    }

    /**
     * Prevents the selection of a busy member, which happens when a gateway goes by its own call-outs in flight: they
     * say little about the load of a member that many gateways use.
     */
    @Test void memberThatReportsManyCallOutsInFlightIsSelectedLess() {
        int sentToBusy = 0;
        for (int i = 0; i < 60; i++) {
            front.runBatch(() -> front.router.probeEnded(front.member("r1"), Outcome.OK, MS,
                    new LoadReport(front.now, Role.REPLICA, -1, -1, 20)));
            sentToBusy += front.serve(ANY).id.equals("r1") ? 1 : 0;
        }
        assertTrue(sentToBusy > 0 && sentToBusy < 20, "sent to the busy member: " + sentToBusy);
    }

    /**
     * Prevents call-outs to a member that other gateways have overloaded, which happen where a gateway gets an answer
     * from it only every few seconds. Only the load report shows the overload.
     */
    @Test void memberThatReportsBusyCoresIsAvoidedWhenItsLastAnswerIsOld() {
        front.advance(2000);
        for (int i = 0; i < 20; i++) {
            front.runBatch(() -> front.router.probeEnded(front.member("r1"), Outcome.OK, MS,
                    new LoadReport(front.now, Role.REPLICA, 0, 1, 0)));
        }
        for (int i = 0; i < 8; i++) {
            assertEquals("r2", front.serve(ANY).id);
        }
    }

    @Test void memberMovedToAnotherGroupServesOnlyThatGroup() {
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                new ListedMember(front.member("r1"), "here", "std", 2, ListedMember.Phase.UP, false, 1, 0)));
        for (int i = 0; i < 8; i++) {
            assertEquals("r2", front.serve(ANY).id);
        }
    }

    @Test void drainingMemberGetsNoNewCallOuts() {
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                front.entry("r1", ListedMember.Phase.DRAINING, false, 0)));
        for (int i = 0; i < 8; i++) {
            assertEquals("r2", front.serve(ANY).id);
        }
    }

    /**
     * Prevents the loss of live members that a list calls gone: where gone members stay usable they still serve reads.
     * A primary that is gone gets no writes in either case.
     */
    @Test void goneMembersServeReadsWhereTheyStayUsable() {
        for (boolean staysUsable : new boolean[] {false, true}) {
            TestFront front = withTwoReplicas(staysUsable);
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                    front.entry("r1", ListedMember.Phase.GONE, false, 0)));
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL,
                    front.entry("p", ListedMember.Phase.DRAINING, true, 0)));
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                    front.entry("p", ListedMember.Phase.GONE, true, 0)));
            assertEquals(staysUsable, !front.arrive(ANY, 0).callOuts.isEmpty());
            assertTrue(front.arrive(WRITE, 0).callOuts.stream().noneMatch(c -> c.member.id.equals("p")));
        }
    }

    /**
     * Prevents a group without reads from never getting its primary back after it has hung, which happens when only
     * reads are trial requests.
     */
    @Test void ejectedPrimaryRecoversByATrialWriteWithoutReads() {
        front.arrive(WRITE, 0);
        front.advance(1500);
        front.runBatch(() -> front.endCallOut(front.inFlight.get(0), Outcome.CANCELLED, LoadReport.NO_POSITION,
                Role.UNKNOWN));
        assertTrue(front.actionLog.stream().noneMatch(d -> d.contains("close idle")));
        for (int i = 0; i < 40 && front.inFlight.isEmpty(); i++) {
            front.arrive(WRITE, 0);
            front.advance(200);
            front.probes.clear();
            front.runBatch(() -> front.router.probeEnded(front.member("p"), Outcome.OK, MS, LoadReport.NONE));
        }
        assertEquals("p", front.inFlight.get(0).member.id);
        assertEquals(1, front.actionLog.stream().filter(d -> d.endsWith("close idle p")).count(),
                "idle connections are closed once, when the ejection lasts");
        front.answer(front.inFlight.get(0), Outcome.OK, front.now, Role.PRIMARY);
        assertEquals("p", front.inFlight.get(0).member.id, "the writes that were held are sent");
    }

    /** Prevents writes from being held for a draining primary though the group has a new primary. */
    @Test void drainingPrimaryIsNoLongerPrimary() {
        front.answer(front.lastCallOut(front.arrive(WRITE, 0)), Outcome.OK, front.now, Role.PRIMARY);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                front.entry("p", ListedMember.Phase.DRAINING, true, 0)));
        CallOut tried = front.lastCallOut(front.arrive(WRITE, 0));
        assertTrue(tried.member.id.startsWith("r"), "the members are tried in turn while no primary is known");
        front.answer(tried, Outcome.MISS, front.now, Role.REPLICA);
        String other = tried.member.id.equals("r1") ? "r2" : "r1";
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.up(other, true)));
        assertEquals(other, front.lastCallOut(front.arrive(WRITE, 0)).member.id);
    }

    /**
     * Prevents a fresh read from being sent to a member that reports itself a replica while the connection to it is
     * being established.
     */
    @Test void freshReadIsCancelledWhenItsPrimaryIsDemotedBeforeTheSend() {
        front.runBatch(() -> front.router.probeEnded(front.member("p"), Outcome.OK, MS,
                new LoadReport(front.now, Role.PRIMARY, -1, -1, -1)));
        CallOut call = front.lastCallOut(front.arrive(FRESH, 0));
        call.awaitingConnection = true;
        front.runBatch(() -> front.router.probeEnded(front.member("p"), Outcome.OK, MS,
                new LoadReport(front.now, Role.REPLICA, -1, -1, -1)));
        front.runBatch(() -> front.router.connectionReady(call));
        assertTrue(front.cancelled.contains(call));
    }

    /**
     * Prevents a call-out from being sent to a member that began to drain, restarted or came to lag too far while the
     * call-out waited for its connection. The cases by index: no change (0), draining (1), draining and then up again
     * (2), a bounded read whose reported position has become too old (3).
     */
    @Test void callOutIsCheckedAgainAfterWaitingForItsConnection() {
        for (int i = 0; i < 4; i++) {
            TestFront front = withTwoReplicas();
            front.reportPosition("r1", 10);
            front.reportPosition("r2", 10);
            CallOut call = front.lastCallOut(front.arrive(i == 3 ? BOUNDED : ANY, 0));
            call.awaitingConnection = true;
            front.advance(i == 3 ? 290 : 50);
            if (i == 1 || i == 2) {
                front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                        front.entry(call.member.id, ListedMember.Phase.DRAINING,
                        false, 0)));
            }
            if (i == 2) {
                front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.up(call.member.id, false)));
            }
            front.runBatch(() -> front.router.connectionReady(call));
            assertEquals(i == 0 || i == 2, front.actionLog.contains(front.now + " go " + call.rpc.id), "case " + i);
            assertEquals(i == 1 || i == 3, front.cancelled.contains(call), "case " + i);
        }
    }

    /** A call-out that has not been sent cannot have run, so its RPC is pushed back rather than aborted. */
    @Test void writeStillAwaitingItsConnectionIsPushedBack() {
        Rpc rpc = front.arrive(WRITE, 0);
        front.lastCallOut(rpc).awaitingConnection = true;
        front.advance(1500);
        assertTrue(front.pushedBack.contains(rpc) && front.cancelled.contains(front.lastCallOut(rpc)));
    }

    @Test void rpcOfUnknownGroupOrMethodIsPushedBack() {
        Rpc unknownGroup = new Rpc(99, 42, null, front.now + MS, false, 0, null, ANY);
        Rpc unknownMethod = new Rpc(98, 1, null, front.now + MS, false, 0, null, null);
        front.runBatch(() -> front.router.rpcArrived(unknownGroup));
        front.runBatch(() -> front.router.rpcArrived(unknownMethod));
        assertEquals(2, front.pushedBack.size());
    }

    /**
     * A front that is one of a hundred gateways and learns positions from answers only, with the primary p and the
     * given replicas.
     */
    private static TestFront withAnswersOnly(int index, String... replicas) {
        TestFront front = new TestFront(true, true, false, false, index, 100);
        front.runBatch(() -> {
            front.listMembers(ListedMember.ListKind.CACHED, front.up("p", true));
            for (String id : replicas) {
                front.listMembers(ListedMember.ListKind.CHANGES, front.up(id, false));
            }
        });
        return front;
    }

    /**
     * Prevents one replica that was reported to lag from stopping reads from the primary for its whole group, though
     * the lag of the other replica is unknown.
     */
    @Test void laggingReplicaDoesNotStopPrimaryReadsForUnknownOnes() {
        TestFront front = withAnswersOnly(1, "r1", "r2");
        for (CallOut any = null; any == null || any.member.id.equals("p"); ) {
            any = front.lastCallOut(front.arrive(ANY, 0));
            front.answer(any, Outcome.OK, front.now - 900 * MS, any.member.id.equals("p") ? Role.PRIMARY
                    : Role.REPLICA);
        }
        front.answer(front.lastCallOut(front.arrive(WRITE, 0)), Outcome.OK, front.now, Role.PRIMARY);
        front.advance(1000);
        Rpc read = front.arrive(BOUNDED, 0);
        front.advance(101);
        assertEquals("p", front.lastCallOut(read).member.id, "the other replica never reported a position");
    }

    /**
     * Prevents a standing queue of a hundred call-outs at a slow member, which happens when each of a hundred gateways
     * keeps a concurrency limit of one.
     */
    @Test void manyGatewaysBackOffFromAMemberWithLateAnswers() {
        TestFront front = withAnswersOnly(1, "r");
        front.answer(front.lastCallOut(front.arrive(WRITE, 0)), Outcome.OK, front.now, Role.PRIMARY);
        for (int i = 0; i < 80; i++) {
            front.arrive(ANY, 0);
            front.advance(100);
            for (Member probed : List.copyOf(front.probes)) {
                front.probes.remove(probed);
                front.runBatch(() -> front.router.probeEnded(probed, Outcome.OK, MS, LoadReport.NONE));
            }
            for (CallOut call : List.copyOf(front.inFlight)) {
                if (front.now - call.sentAt >= 500 * MS) { // later than its soft deadline
                    front.answer(call, Outcome.OK, front.now, call.member.id.equals("p") ? Role.PRIMARY : Role.REPLICA);
                }
            }
        }
        long sent = front.actionLog.stream().filter(d -> d.contains("call out") && d.endsWith(" r")).count();
        assertTrue(sent >= 2 && sent < 10, "call-outs sent: " + sent);
    }

    /**
     * Prevents read after read from being sent to a slow primary, which happens when it answers none of them, so that
     * its role stays unknown.
     */
    @Test void readsLearnTheRoleOfAnUnknownPrimaryOnce() {
        int sentToPrimary = 0;
        TestFront front = withAnswersOnly(3, "r");
        for (int i = 0; i < 50; i++) {
            CallOut call = front.lastCallOut(front.arrive(ANY, 0));
            if (call.member.id.equals("p")) {
                sentToPrimary++;
                front.answer(call, Outcome.CANCELLED, LoadReport.NO_POSITION, Role.UNKNOWN);
                call = front.lastCallOut(call.rpc); // the retry goes to the replica
            }
            front.answer(call, Outcome.OK, front.now, Role.UNKNOWN);
            front.advance(400);
        }
        assertEquals(1, sentToPrimary);
    }

    /**
     * Prevents the budget of cold members from falling with the number of answers while many members are replaced, and
     * the unused budget of one window from being lost.
     */
    @Test void coldBudgetFollowsPeakAnswersAndIsCarriedOver() {
        TestFront front = new TestFront(true, true, false, false, 1, 10);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CACHED, front.up("p", true),
                front.up("r", false)));
        for (int i = 0; i < 400; i++) { // ten answers in a window from each member
            front.answer(front.lastCallOut(front.arrive(i % 2 == 0 ? ANY : WRITE, 0)), Outcome.OK, front.now,
                    Role.UNKNOWN);
            front.advance(50);
        }
        for (int i = 0; i < 16; i++) { // windows without an RPC
            front.advance(1001);
            front.runBatch(() -> { });
        }
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("p", true),
                front.entry("r", ListedMember.Phase.UP, false, front.now / MS * MS)));
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            Rpc read = front.arrive(ANY, 0);
            sent += (int) read.callOuts.stream().filter(c -> c.member.id.equals("r")).count();
            read.callOuts.forEach(c -> front.answer(c, Outcome.OK, front.now, Role.UNKNOWN));
        }
        assertTrue(sent >= 3 && sent <= 8,
                "between the cold share of ten answers and three quarters of the multiple: " + sent);
    }

    /** Prevents reads whose clients give up before the usual answer from loading members that other reads need. */
    @Test void readThatCannotBeAnsweredByItsDeadlineIsNotSent() {
        TestFront front = withTwoReplicas();
        for (int i = 0; i < 40; i++) {
            CallOut call = front.lastCallOut(front.arrive(ANY, 0));
            front.advance(90);
            front.answer(call, Outcome.OK, front.now, Role.UNKNOWN);
        }
        for (long millisLeft : new long[] {20, 300}) {
            Rpc read = new Rpc(1000 + millisLeft, 1, "s", front.now + millisLeft * MS, false, 0, null, ANY);
            front.runBatch(() -> front.router.rpcArrived(read));
            assertEquals(millisLeft == 300, !read.callOuts.isEmpty(), "millis left: " + millisLeft);
        }
    }

    /**
     * Prevents a slow primary from staying overloaded, which happens when reads are sent to it as trial requests. Reads
     * are trial requests only where no replica is left; otherwise only writes are.
     */
    @Test void readsAreTrialsOfAnEjectedPrimaryOnlyWithoutReplicas() {
        for (boolean alone : new boolean[] {false, true}) {
            TestFront front = new TestFront(true, true, false, false);
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CACHED, front.up("p", true)));
            if (!alone) {
                front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.up("r", false)));
            }
            front.arrive(WRITE, 0);
            front.advance(1500);
            front.runBatch(() -> front.endCallOut(front.inFlight.get(0), Outcome.CANCELLED, LoadReport.NO_POSITION,
                    Role.UNKNOWN));
            front.runBatch(() -> front.router.probeEnded(front.member("p"), Outcome.OK, MS, LoadReport.NONE));
            assertEquals(alone ? "p" : "r", front.lastCallOut(front.arrive(ANY, 0)).member.id);
        }
    }

    /**
     * Prevents a slow member whose clients give up before the answers from getting as many call-outs as the others,
     * which happens when cancelled call-outs do not count for its latency.
     */
    @Test void cancelledCallOutsRaiseAMembersLatency() {
        TestFront front = new TestFront(true, true, false, false);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CACHED, front.up("p", true), front.up("r1", false),
                front.up("r2", false)));
        int sentToSlow = 0;
        for (int i = 0; i < 200; i++) {
            Rpc read = front.arrive(ANY, 0);
            CallOut call = front.lastCallOut(read);
            boolean isSlow = call.member.id.equals("r1");
            sentToSlow += isSlow && i >= 100 ? 1 : 0;
            front.advance(isSlow ? 99 : 20);
            if (isSlow) {
                read.ended = true; // the client has given up
                front.runBatch(() -> front.router.clientGone(read));
            }
            front.answer(call, isSlow ? Outcome.CANCELLED : Outcome.OK, front.now, Role.UNKNOWN);
        }
        assertTrue(sentToSlow > 0 && sentToSlow < 30, "call-outs to the slow member, of a hundred: " + sentToSlow);
    }

    /** Prevents the concurrency limit of a member that has recovered from staying below one. */
    @Test void recoveredMemberRegainsItsConcurrencyLimit() {
        TestFront front = withAnswersOnly(1, "r");
        front.answer(front.lastCallOut(front.arrive(WRITE, 0)), Outcome.OK, front.now, Role.PRIMARY);
        for (int i = 0; i < 600; i++) {
            front.arrive(ANY, 0);
            front.advance(i < 50 ? 500 : 10);
            for (CallOut call : List.copyOf(front.inFlight)) {
                front.answer(call, Outcome.OK, front.now, call.member.id.equals("p") ? Role.PRIMARY : Role.REPLICA);
            }
            front.advance(i < 50 ? 0 : 100);
        }
        long since = front.now - 11_000 * MS;
        long sent = front.actionLog.stream()
                .filter(d -> d.contains(" call out") && Long.parseLong(d.split(" ")[0]) > since)
                .count();
        assertTrue(sent > 80, "call-outs sent, of the last hundred: " + sent);
    }

    /** Prevents reads from using up the budget of a cold primary before its writes come. */
    @Test void readsUseOnlyTheColdPrimaryBudgetThatWritesLeave() {
        int readsFromPrimary = 0;
        for (int index = 0; index < 100; index++) {
            TestFront front = new TestFront(true, true, false, false, index, 100);
            long startedAt = front.now / MS * MS;
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CACHED,
                    front.entry("p", ListedMember.Phase.UP, true, startedAt),
                    front.up("r", false)));
            for (int i = 0; i < 5; i++) { // without a write, at most half of one RPC is left over
                front.advance(1001);
                front.arrive(BOUNDED, 0);
            }
            front.advance(101);
            readsFromPrimary += front.actionLog.stream().anyMatch(d -> d.contains("call out") && d.endsWith(" p")) ? 1
                    : 0;
        }
        assertEquals(0, readsFromPrimary);
    }

    /**
     * The budget of a cold primary follows what primaries answer, since they are the busiest members. Unused budget is
     * carried over, up to three quarters of the multiple; without a cap it would overload the primary at once.
     */
    @Test void coldPrimaryBudgetFollowsPrimariesAndIsCapped() {
        TestFront front = new TestFront(true, true, false, false, 1, 10);
        front.runBatch(() -> {
            front.listMembers(ListedMember.ListKind.CACHED, front.up("p", true));
            for (int i = 0; i < 7; i++) {
                front.listMembers(ListedMember.ListKind.CHANGES, front.up("r" + i, false));
            }
        });
        for (int i = 0; i < 200; i++) { // twenty answers in a window, eighteen of them from the primary
            front.answer(front.lastCallOut(front.arrive(i % 10 == 0 ? ANY : WRITE, 0)), Outcome.OK, front.now,
                    Role.UNKNOWN);
            front.advance(50);
        }
        long startedAt = front.now / MS * MS;
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                front.entry("p", ListedMember.Phase.UP, true, startedAt)));
        front.advance(1001); // lets the call-outs to the earlier process leave the window
        int first = coldWrites(front);
        assertTrue(first >= 4 && first <= 7, "the cold share of eighteen answers, and a little more: " + first);
        front.advance(1001);
        for (int i = 0; i < 6; i++) {
            front.arrive(FRESH, 0); // checks the primary's budget
            front.inFlight.forEach(c -> c.ended = true);
            front.advance(1001);
        }
        int later = coldWrites(front);
        assertTrue(later <= 27, "at most three quarters of the multiple, by the cold share at that time: " + later);
    }

    /** Submits sixty writes, answers each call-out at once and returns the number of call-outs. */
    private static int coldWrites(TestFront front) {
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            Rpc write = front.arrive(WRITE, 0);
            sent += write.callOuts.size();
            List.copyOf(write.callOuts).forEach(c -> front.answer(c, Outcome.OK, front.now, Role.PRIMARY));
        }
        return sent;
    }

    /**
     * Gateways with little traffic have served session reads well and hardly any bounded reads. Half of them then get a
     * bounded read (index 0), the others a session read (index 1): more bounded reads than session reads go to the
     * primary, but some of each do.
     */
    @Test void primaryReadsFavourTheLeastServedMethodButServeAll() {
        for (long writeMillis : new long[] {60, 160}) {
            int[] readsFromPrimary = new int[2];
            for (int index = 0; index < 200; index++) {
                TestFront front = new TestFront(true, true, false, false, index, 100);
                front.runBatch(() -> front.listMembers(ListedMember.ListKind.CACHED, front.up("r", false)));
                for (int i = 0; i < 20; i++) {
                    front.answer(front.lastCallOut(front.arrive(SESSION, 0)), Outcome.OK, front.now - 10 * MS,
                            Role.REPLICA);
                }
                front.advance(1000);
                for (int i = 0; i < 10; i++) {
                    front.arrive(BOUNDED, 0); // no primary is listed yet
                    front.advance(101);
                }
                front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.up("p", true)));
                CallOut write = front.lastCallOut(front.arrive(WRITE, 0));
                front.advance(writeMillis);
                front.answer(write, Outcome.OK, front.now, Role.PRIMARY);
                Rpc read = index % 2 == 0 ? front.arrive(BOUNDED, 0) : front.arrive(SESSION, 10 * MS);
                front.advance(101);
                readsFromPrimary[index % 2] += read.callOuts.isEmpty() ? 0 : 1;
            }
            assertTrue(readsFromPrimary[0] > 2 * readsFromPrimary[1] && readsFromPrimary[1] > 0, writeMillis + " ms: "
                    + readsFromPrimary[0] + " bounded reads and " + readsFromPrimary[1] + " session reads");
        }
    }

    /**
     * Prevents divisions by zero, which happen with a method without a soft deadline and with a histogram whose unit is
     * zero.
     */
    @Test void zeroSoftDeadlineAndZeroUnitCauseNoDivisionByZero() {
        LatencyHistogram zeroUnit = new LatencyHistogram(0);
        zeroUnit.add(7);
        assertTrue(zeroUnit.mean(5) > 0);
        TestFront front = withAnswersOnly(1, "r");
        Method noSoftDeadline = new Method("never", Method.Consistency.ANY, 0, 0, 1500 * MS, 1, 0,
                Method.RetrySafety.IDEMPOTENT,
                Method.DeduplicationScope.ALL, 0);
        for (int i = 0; i < 20; i++) {
            CallOut call = front.lastCallOut(front.arrive(noSoftDeadline, 0));
            front.advance(5);
            front.answer(call, Outcome.OK, front.now, Role.UNKNOWN);
            front.advance(50);
        }
    }

    /** Reads learn the role of a member again after it has moved to another group or restarted. */
    @Test void roleIsLearntAgainAfterAMoveOrRestart() {
        TestFront front = withAnswersOnly(1);
        for (int i = 0; i < 3; i++) {
            CallOut call = front.lastCallOut(front.arrive(ANY, 0)); // the primary serves reads, as the only member
            front.answer(call, Outcome.CANCELLED, LoadReport.NO_POSITION, Role.UNKNOWN);
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.up("r", false)));
            boolean moves = i == 1;
            long start = front.now / MS * MS - 20_000 * MS + i;
            front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, moves
                    ? new ListedMember(front.member("p"), "here", "std", 2, ListedMember.Phase.UP, true, 1, 0)
                    : front.entry("p", ListedMember.Phase.UP, true, start)));
        }
    }

    /**
     * Prevents stale fresh reads, which happen when a member that reported itself a replica is gone for a while, comes
     * back under a list that still names it primary, and the real primary drains: its role was forgotten with it.
     */
    @Test void replicaThatComesBackIsNoPrimaryByTheListAlone() {
        TestFront front = new TestFront(false, true, false, false);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("former", true),
                front.up("now", false), front.up("next", false)));
        Rpc write = front.arrive(WRITE, 0);
        assertEquals("former", front.lastCallOut(write).member.id);
        front.answer(front.lastCallOut(write), Outcome.MISS, front.now, Role.REPLICA);
        while (!front.lastCallOut(write).member.id.equals("now")) {
            front.answer(front.lastCallOut(write), Outcome.MISS, front.now, Role.REPLICA);
        }
        front.answer(front.lastCallOut(write), Outcome.OK, front.now, Role.PRIMARY);
        assertEquals("now", front.serve(FRESH).id);
        front.advance(10_000); // longer than its call-out counts as a recent one
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                front.entry("former", ListedMember.Phase.GONE, true, 0)));
        assertFalse(front.members.containsKey("former"));
        front.advance(10_000);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                front.entry("former", ListedMember.Phase.UP, true, front.now)));
        assertEquals("now", front.serve(FRESH).id);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                front.entry("now", ListedMember.Phase.DRAINING, false, 0)));
        assertTrue(front.arrive(FRESH, 0).callOuts.isEmpty(), "no member has reported itself primary");
    }

    /** Prevents the same where a member moves to another group and back, whose data give it a role of their own. */
    @Test void replicaThatMovesAwayAndBackIsNoPrimaryByTheListAlone() {
        TestFront front = new TestFront(false, true, false, false);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.FULL, front.up("former", true)));
        Rpc write = front.arrive(WRITE, 0);
        front.answer(front.lastCallOut(write), Outcome.MISS, front.now, Role.REPLICA);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES,
                new ListedMember(front.member("former"), "here", "std", 2, ListedMember.Phase.UP, true, 1, 0)));
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CHANGES, front.up("former", true)));
        assertTrue(front.arrive(FRESH, 0).callOuts.isEmpty(), "no member has reported itself primary");
    }
}
