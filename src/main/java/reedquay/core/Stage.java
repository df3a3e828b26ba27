package reedquay.core;

import java.util.List;
import java.util.Map;

/**
 * A stage of the pipeline between a front and the routing engine: a RoutingEngine to the front, RoutingActions to the
 * engine. It passes on every call; a subclass overrides those that it takes part in. Stages can be chained.
 */
public abstract class Stage implements RoutingEngine, RoutingActions {
    protected final RoutingActions actions;
    protected RoutingEngine next;

    protected Stage(RoutingActions actions) {
        this.actions = actions;
    }

    /** Sets the next stage or the engine; called once, before the first input. */
    public Stage setNext(RoutingEngine engine) {
        next = engine;
        return this;
    }

    /** The statistics table of that name, with the column names as first row; null if no stage has one. */
    public List<String[]> statisticsTable(String name) {
        return next instanceof Stage nextStage ? nextStage.statisticsTable(name) : null;
    }

    /** Adds the counters of this stage and the next ones; each name begins with the name of its stage. */
    public void addCounters(Map<String, Long> counters) {
        if (next instanceof Stage nextStage) {
            nextStage.addCounters(counters);
        }
    }

    @Override public void beginBatch(long now) {
        next.beginBatch(now);
    }

    @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) {
        next.membersListed(kind, entries);
    }

    @Override public void rpcArrived(Rpc rpc) {
        next.rpcArrived(rpc);
    }

    @Override public void callOutEnded(CallOut callOut, Outcome outcome, long took, boolean ended, long position,
            Role role, LoadReport report) {
        next.callOutEnded(callOut, outcome, took, ended, position, role, report);
    }

    @Override public void connectionReady(CallOut callOut) {
        next.connectionReady(callOut);
    }

    @Override public void probeEnded(Member member, Outcome outcome, long took, LoadReport report) {
        next.probeEnded(member, outcome, took, report);
    }

    @Override public void clientGone(Rpc rpc) {
        next.clientGone(rpc);
    }

    @Override public String explain(Rpc rpc) {
        return next.explain(rpc);
    }

    @Override public void deadlineShortened(Rpc rpc) {
        next.deadlineShortened(rpc);
    }

    @Override public void endBatch() {
        next.endBatch();
    }

    @Override public void sendCallOut(CallOut callOut, long timeout) {
        actions.sendCallOut(callOut, timeout);
    }

    @Override public void proceed(CallOut callOut) {
        actions.proceed(callOut);
    }

    @Override public void cancel(CallOut callOut) {
        actions.cancel(callOut);
    }

    @Override public void pushBack(Rpc rpc, long retryAfter) {
        actions.pushBack(rpc, retryAfter);
    }

    @Override public void abort(Rpc rpc) {
        actions.abort(rpc);
    }

    @Override public void probe(Member member) {
        actions.probe(member);
    }

    @Override public void closeIdleConnections(Member member) {
        actions.closeIdleConnections(member);
    }

    @Override public void forgetMember(Member member) {
        actions.forgetMember(member);
    }

    @Override public void scheduleWakeUp(long delay) {
        actions.scheduleWakeUp(delay);
    }

    @Override public void requestMemberList() {
        actions.requestMemberList();
    }

    @Override public void log(String line) {
        actions.log(line);
    }
}
