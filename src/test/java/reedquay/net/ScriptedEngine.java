package reedquay.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import reedquay.core.CallOut;
import reedquay.core.ListedMember;
import reedquay.core.LoadReport;
import reedquay.core.Member;
import reedquay.core.Outcome;
import reedquay.core.Role;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Rpc;

/** An engine controlled by a test: it holds every RPC for ever, but for what the test does at an arrival. */
final class ScriptedEngine implements RoutingEngine {
    final RoutingActions actions;
    /** The members of the last list. */
    volatile List<ListedMember> members = List.of();
    /** The RPCs without an answer, in the order of their arrival. */
    final List<Rpc> held = new ArrayList<>();
    /** Runs when the connection of a call-out is ready, before the call-out proceeds. */
    volatile Runnable onConnectionReady = () -> { };
    /** Runs once, at the end of the next batch. */
    Runnable afterNextBatch = () -> { };
    /** Runs at each arrival, before the RPC is held. */
    volatile Consumer<Rpc> onArrival = rpc -> { };

    ScriptedEngine(RoutingActions actions) {
        this.actions = actions;
    }

    /** Pushes back all held RPCs. */
    void pushBackHeld() {
        List<Rpc> answered = new ArrayList<>(held);
        held.clear();
        answered.forEach(rpc -> actions.pushBack(rpc, 0));
    }

    @Override public void rpcArrived(Rpc rpc) {
        onArrival.accept(rpc);
        held.add(rpc);
    }

    @Override public void clientGone(Rpc rpc) {
        held.remove(rpc);
    }

    @Override public void beginBatch(long now) { }

    @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) {
        members = entries;
    }

    @Override public void callOutEnded(CallOut callOut, Outcome outcome, long took, boolean ended, long position,
            Role role, LoadReport report) { }

    @Override public void connectionReady(CallOut callOut) {
        onConnectionReady.run();
        actions.proceed(callOut);
    }

    @Override public void probeEnded(Member member, Outcome outcome, long took, LoadReport report) { }

    @Override public void endBatch() {
        Runnable task = afterNextBatch;
        afterNextBatch = () -> { };
        task.run();
    }
}
