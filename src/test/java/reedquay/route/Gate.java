package reedquay.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import reedquay.core.*;
import reedquay.core.Method.RetrySafety;
import reedquay.core.Method.Consistency;
import reedquay.core.Method.DeduplicationScope;

/** A Router under test with its clock, its members and a record of what it did. */
class Gate implements RoutingActions {
    static final long MS = 1_000_000;
    static final Method WRITE = method("write", Consistency.WRITE, RetrySafety.TOKENED, DeduplicationScope.GROUP, 0.5);
    static final Method ONCE = method("once", Consistency.WRITE, RetrySafety.NON_IDEMPOTENT, DeduplicationScope.GROUP, 0.5);
    static final Method FRESH = method("fresh", Consistency.FRESH, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final Method BOUNDED = method("bounded", Consistency.BOUNDED, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final Method CHEAP = new Method("cheap", Consistency.BOUNDED, 300 * MS, 400 * MS, 1500 * MS, 0.5, 0,
            RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 1000 * MS);
    static final Method SESSION = method("session", Consistency.SESSION, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final Method ANY = method("any", Consistency.ANY, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0);
    static final List<Method> METHODS = List.of(WRITE, ONCE, FRESH, BOUNDED, CHEAP, SESSION, ANY);

    final Settings settings;
    final RoutingEngine router;
    final Map<String, Member> members = new HashMap<>();
    final List<CallOut> out = new ArrayList<>();
    final List<CallOut> cancelled = new ArrayList<>();
    final List<Rpc> pushedBack = new ArrayList<>();
    final List<Rpc> aborted = new ArrayList<>();
    final List<Member> probes = new ArrayList<>();
    final List<String> did = new ArrayList<>();
    long now = 1000_000 * MS;
    long alarm = Long.MAX_VALUE;
    private long lastId;

    Gate(boolean overlap, boolean answersTell, boolean probesTell, boolean onlyDraining) {
        this(overlap, answersTell, probesTell, onlyDraining, 0, 2);
    }

    Gate(boolean overlap, boolean answersTell, boolean probesTell, boolean onlyDraining, int index, int gateways) {
        this(overlap, answersTell, probesTell, onlyDraining, index, gateways, Router::new);
    }

    Gate(boolean overlap, boolean answersTell, boolean probesTell, boolean onlyDraining, int index, int gateways,
            BiFunction<Settings, RoutingActions, RoutingEngine> maker) {
        this(new Settings(7 + index, "here", index, gateways, 5 * MS, METHODS,
                List.of(new Settings.Tenant("small", Math.max(2, gateways / 5))),
                new Settings.Capabilities(true, false, true, overlap, true, 1000 * MS, 6, 250 * MS, false),
                new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS, onlyDraining),
                new Settings.PositionSources(answersTell, false, probesTell, false, false),
                new Settings.Costs(0.03, 0.08, 0.01, 0.01, 0.08)), maker);
    }

    Gate(Settings settings, BiFunction<Settings, RoutingActions, RoutingEngine> maker) {
        this.settings = settings;
        router = maker.apply(settings, this);
    }

    static Gate usual() {
        return usual(false);
    }

    static Gate usual(boolean onlyDraining) {
        Gate gate = new Gate(true, true, true, onlyDraining);
        gate.batch(() -> gate.list(ListedMember.ListKind.CACHED, gate.up("p", true), gate.up("r1", false),
                gate.up("r2", false)));
        return gate;
    }

    private static Method method(String name, Consistency need, RetrySafety effect, DeduplicationScope scope, double late) {
        return new Method(name, need, 300 * MS, 400 * MS, 1500 * MS, 1, late, effect, scope, 1000 * MS);
    }

    Member member(String id) {
        return members.computeIfAbsent(id, Member::new);
    }

    ListedMember entry(String id, ListedMember.Phase phase, boolean primary, long startedAt) {
        return new ListedMember(member(id), "here", "std", 1, phase, primary, 1, startedAt);
    }

    ListedMember up(String id, boolean primary) {
        return entry(id, ListedMember.Phase.UP, primary, 0);
    }

    void list(ListedMember.ListKind kind, ListedMember... entries) {
        router.membersListed(kind, List.of(entries));
    }

    void batch(Runnable inputs) {
        router.beginBatch(now);
        inputs.run();
        router.endBatch();
    }

    /** Lets time pass, with the alarms that fall due. */
    void pass(long millis) {
        long until = now + millis * MS;
        while (alarm <= until) {
            now = Math.max(now, alarm);
            alarm = Long.MAX_VALUE;
            batch(() -> { });
        }
        now = until;
    }

    Rpc arrive(Method method, long tokenAge) {
        return arrive(method, tokenAge, false, null);
    }

    Rpc arrive(Method method, long tokenAge, boolean retry, String tenant) {
        Rpc rpc = new Rpc(++lastId, 1, "s", now + 1500 * MS, retry, tokenAge, tenant, method);
        batch(() -> router.rpcArrived(rpc));
        return rpc;
    }

    /** Has an RPC arrive and its call-out answered well at once; where it went. */
    Member serve(Method method) {
        CallOut call = last(arrive(method, 0));
        answer(call, Outcome.OK, now, Role.UNKNOWN);
        return call.member;
    }

    CallOut last(Rpc rpc) {
        return rpc.callOuts.get(rpc.callOuts.size() - 1);
    }

    void answer(CallOut call, Outcome outcome, long position, Role role) {
        batch(() -> finish(call, outcome, position, role));
    }

    void finish(CallOut call, Outcome outcome, long position, Role role) {
        call.ended = true;
        call.rpc.ended |= outcome == Outcome.OK;
        out.remove(call);
        router.callOutEnded(call, outcome, now - call.sentAt, call.rpc.ended, position, role, LoadReport.NONE);
    }

    void tellPosition(String id, long age) {
        batch(() -> router.probeEnded(member(id), Outcome.OK, MS,
                new LoadReport(now - age * MS, Role.REPLICA, -1, -1, -1)));
    }

    @Override public void sendCallOut(CallOut call, long limit) {
        out.add(call);
        did.add(now + " call out " + call.rpc.id + " " + call.member.id);
    }

    @Override public void proceed(CallOut call) {
        did.add(now + " go " + call.rpc.id);
    }

    @Override public void cancel(CallOut call) {
        cancelled.add(call);
        did.add(now + " cancel " + call.rpc.id);
    }

    @Override public void pushBack(Rpc rpc, long after) {
        rpc.ended = true;
        pushedBack.add(rpc);
        did.add(now + " push back " + rpc.id);
    }

    @Override public void abort(Rpc rpc) {
        rpc.ended = true;
        aborted.add(rpc);
        did.add(now + " abort " + rpc.id);
    }

    @Override public void probe(Member member) {
        probes.add(member);
        did.add(now + " probe " + member.id);
    }

    @Override public void closeIdleConnections(Member member) {
        did.add(now + " close idle " + member.id);
    }

    @Override public void forgetMember(Member member) {
        members.remove(member.id);
    }

    @Override public void scheduleWakeUp(long delay) {
        alarm = now + delay / 1000 * 1000; // a coarser clock rings a little early
    }

    @Override public void requestMemberList() { }

    @Override public void log(String line) { }
}
