package reedquay.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import reedquay.core.*;
import reedquay.core.Method.Consistency;
import reedquay.core.Method.DeduplicationScope;
import reedquay.core.Method.RetrySafety;

/** A front for tests: runs a Router on a simulated clock and records its actions. */
class TestFront implements RoutingActions {
    static final long MS = 1_000_000;
    static final Method WRITE = method("write", Consistency.WRITE, RetrySafety.TOKENED, DeduplicationScope.GROUP, 0.5);
    static final Method NON_IDEMPOTENT = method("once", Consistency.WRITE, RetrySafety.NON_IDEMPOTENT,
            DeduplicationScope.GROUP, 0.5);
    static final Method FRESH = method("fresh", Consistency.FRESH, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final Method BOUNDED = method("bounded", Consistency.BOUNDED, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL,
            0);
    static final Method LOW_UTILITY = new Method("cheap", Consistency.BOUNDED, 300 * MS, 400 * MS, 1500 * MS, 0.5, 0,
            RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 1000 * MS);
    static final Method SESSION = method("session", Consistency.SESSION, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL,
            0);
    static final Method ANY = method("any", Consistency.ANY, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final List<Method> METHODS = List.of(WRITE, NON_IDEMPOTENT, FRESH, BOUNDED, LOW_UTILITY, SESSION, ANY);

    final Settings settings;
    final RoutingEngine router;
    final Map<String, Member> members = new HashMap<>();
    final List<CallOut> inFlight = new ArrayList<>();
    final List<CallOut> cancelled = new ArrayList<>();
    final List<Rpc> pushedBack = new ArrayList<>();
    final List<Rpc> aborted = new ArrayList<>();
    final List<Member> probes = new ArrayList<>();
    final List<String> actionLog = new ArrayList<>();
    long now = 1000_000 * MS;
    long wakeUpAt = Long.MAX_VALUE; // in nanoseconds, as now
    private long lastId;

    TestFront(boolean hedging, boolean answersReportPositions, boolean probesReportPositions,
            boolean goneMembersStayUsable) {
        this(hedging, answersReportPositions, probesReportPositions, goneMembersStayUsable, 0, 2);
    }

    TestFront(boolean hedging, boolean answersReportPositions, boolean probesReportPositions,
            boolean goneMembersStayUsable, int gatewayIndex, int gatewayCount) {
        this(hedging, answersReportPositions, probesReportPositions, goneMembersStayUsable, gatewayIndex, gatewayCount,
                Router::new);
    }

    TestFront(boolean hedging, boolean answersReportPositions, boolean probesReportPositions,
            boolean goneMembersStayUsable, int gatewayIndex, int gatewayCount,
            BiFunction<Settings, RoutingActions, RoutingEngine> engineFactory) {
        this(new Settings(7 + gatewayIndex, "here", gatewayIndex, gatewayCount, 5 * MS, METHODS,
                List.of(new Settings.Tenant("small", Math.max(2, gatewayCount / 5))),
                new Settings.Capabilities(true, false, true, hedging, true, 1000 * MS, 6, 250 * MS, false),
                new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS,
                        goneMembersStayUsable),
                new Settings.PositionSources(answersReportPositions, false, probesReportPositions, false, false),
                new Settings.Costs(0.03, 0.08, 0.01, 0.01, 0.08)), engineFactory);
    }

    TestFront(Settings settings, BiFunction<Settings, RoutingActions, RoutingEngine> engineFactory) {
        this.settings = settings;
        router = engineFactory.apply(settings, this);
    }

    /** A front with the primary p and the replicas r1 and r2. */
    static TestFront withTwoReplicas() {
        return withTwoReplicas(false);
    }

    static TestFront withTwoReplicas(boolean goneMembersStayUsable) {
        TestFront front = new TestFront(true, true, true, goneMembersStayUsable);
        front.runBatch(() -> front.listMembers(ListedMember.ListKind.CACHED, front.up("p", true), front.up("r1", false),
                front.up("r2", false)));
        return front;
    }

    private static Method method(String name, Consistency consistency, RetrySafety retrySafety,
            DeduplicationScope deduplicationScope, double lateUtilityShare) {
        return new Method(name, consistency, 300 * MS, 400 * MS, 1500 * MS, 1, lateUtilityShare, retrySafety,
                deduplicationScope, 1000 * MS);
    }

    Member member(String id) {
        return members.computeIfAbsent(id, Member::new);
    }

    /** An entry of a member list; startedAt is the start of the member's process in nanoseconds, 0 if unknown. */
    ListedMember entry(String id, ListedMember.Phase phase, boolean primary, long startedAt) {
        return new ListedMember(member(id), "here", "std", 1, phase, primary, 1, startedAt);
    }

    ListedMember up(String id, boolean primary) {
        return entry(id, ListedMember.Phase.UP, primary, 0);
    }

    void listMembers(ListedMember.ListKind kind, ListedMember... entries) {
        router.membersListed(kind, List.of(entries));
    }

    /** Runs the inputs as one batch at the current time. */
    void runBatch(Runnable inputs) {
        router.beginBatch(now);
        inputs.run();
        router.endBatch();
    }

    /** Advances the clock and runs the wake-ups that are due. */
    void advance(long millis) {
        long until = now + millis * MS;
        while (wakeUpAt <= until) {
            now = Math.max(now, wakeUpAt);
            wakeUpAt = Long.MAX_VALUE;
            runBatch(() -> { });
        }
        now = until;
    }

    /** Submits a first attempt without a tenant. */
    Rpc arrive(Method method, long sessionTokenAge) {
        return arrive(method, sessionTokenAge, false, null);
    }

    /** Submits an RPC to group 1, due in 1500 ms; sessionTokenAge is in nanoseconds, 0 for no token. */
    Rpc arrive(Method method, long sessionTokenAge, boolean retry, String tenant) {
        Rpc rpc = new Rpc(++lastId, 1, "s", now + 1500 * MS, retry, sessionTokenAge, tenant, method);
        runBatch(() -> router.rpcArrived(rpc));
        return rpc;
    }

    /** Sends an RPC and has its call-out succeed at once; returns the member that served it. */
    Member serve(Method method) {
        CallOut callOut = lastCallOut(arrive(method, 0));
        answer(callOut, Outcome.OK, now, Role.UNKNOWN);
        return callOut.member;
    }

    CallOut lastCallOut(Rpc rpc) {
        return rpc.callOuts.get(rpc.callOuts.size() - 1);
    }

    /** Ends a call-out in a batch of its own. */
    void answer(CallOut callOut, Outcome outcome, long position, Role role) {
        runBatch(() -> endCallOut(callOut, outcome, position, role));
    }

    /** Ends a call-out within a batch; position and role are what the answer reports. */
    void endCallOut(CallOut callOut, Outcome outcome, long position, Role role) {
        callOut.ended = true;
        callOut.rpc.ended |= outcome == Outcome.OK;
        inFlight.remove(callOut);
        router.callOutEnded(callOut, outcome, now - callOut.sentAt, callOut.rpc.ended, position, role, LoadReport.NONE);
    }

    /** Has a replica answer a probe with a position of the given age. */
    void reportPosition(String id, long ageMillis) {
        runBatch(() -> router.probeEnded(member(id), Outcome.OK, MS,
                new LoadReport(now - ageMillis * MS, Role.REPLICA, -1, -1, -1)));
    }

    @Override public void sendCallOut(CallOut callOut, long timeout) {
        inFlight.add(callOut);
        actionLog.add(now + " call out " + callOut.rpc.id + " " + callOut.member.id);
    }

    @Override public void proceed(CallOut callOut) {
        actionLog.add(now + " go " + callOut.rpc.id);
    }

    @Override public void cancel(CallOut callOut) {
        cancelled.add(callOut);
        actionLog.add(now + " cancel " + callOut.rpc.id);
    }

    @Override public void pushBack(Rpc rpc, long retryAfter) {
        rpc.ended = true;
        pushedBack.add(rpc);
        actionLog.add(now + " push back " + rpc.id);
    }

    @Override public void abort(Rpc rpc) {
        rpc.ended = true;
        aborted.add(rpc);
        actionLog.add(now + " abort " + rpc.id);
    }

    @Override public void probe(Member member) {
        probes.add(member);
        actionLog.add(now + " probe " + member.id);
    }

    @Override public void closeIdleConnections(Member member) {
        actionLog.add(now + " close idle " + member.id);
    }

    @Override public void forgetMember(Member member) {
        members.remove(member.id);
    }

    @Override public void scheduleWakeUp(long delay) {
        wakeUpAt = now + delay / 1000 * 1000; // a coarser clock fires a little early
    }

    @Override public void requestMemberList() { }

    @Override public void log(String line) { }
}
