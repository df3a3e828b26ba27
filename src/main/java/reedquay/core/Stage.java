package reedquay.core;

import java.util.List;
import java.util.Map;

/**
 * What stands between a front and the decisions: a Decider to the one, Effects to the other. By itself it passes
 * everything on; a stage that has something to decide overrides what it needs. Stages can be chained.
 */
public abstract class Stage implements RoutingEngine, RoutingActions {
    protected final RoutingActions actions;
    protected RoutingEngine next;

    protected Stage(RoutingActions outer) {
        this.actions = outer;
    }

    /** What it stands before; told once, before the first input. */
    public Stage setNext(RoutingEngine decider) {
        next = decider;
        return this;
    }

    /** The tables that an operator can ask for by name, each with its column names first; null for others. */
    public List<String[]> statisticsTable(String what) {
        return next instanceof Stage nextStage ? nextStage.statisticsTable(what) : null;
    }

    /** Adds what it has counted, by names that begin with its own. */
    public void addCounters(Map<String, Long> all) {
        if (next instanceof Stage nextStage) {
            nextStage.addCounters(all);
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

    @Override public void callOutEnded(CallOut callOut, Outcome outcome, long took, boolean ended, long position, Role role,
            LoadReport report) {
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

    @Override public void sendCallOut(CallOut callOut, long limit) {
        actions.sendCallOut(callOut, limit);
    }

    @Override public void proceed(CallOut callOut) {
        actions.proceed(callOut);
    }

    @Override public void cancel(CallOut callOut) {
        actions.cancel(callOut);
    }

    @Override public void pushBack(Rpc rpc, long after) {
        actions.pushBack(rpc, after);
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
