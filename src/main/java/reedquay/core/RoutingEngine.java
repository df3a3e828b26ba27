package reedquay.core;

import java.util.List;

/**
 * A routing engine, as its front calls it: it receives inputs in batches and decides by RoutingActions. All inputs of a
 * batch happened at the same time.
 */
public interface RoutingEngine {
    /** Begins a batch of inputs at the given time in nanoseconds. */
    void beginBatch(long now);

    /** A member list, or a part of one, was received; kind says how the entries relate to what is known. */
    void membersListed(ListedMember.ListKind kind, List<ListedMember> entries);

    /** A client has sent an RPC. */
    void rpcArrived(Rpc rpc);

    /**
     * A call-out has ended. took: its duration in nanoseconds; ended: whether the RPC has its final answer, by this
     * outcome or earlier; position, role and report: what the member's response says of the member.
     */
    void callOutEnded(CallOut callOut, Outcome outcome, long took, boolean ended, long position, Role role,
            LoadReport report);

    /** The connection that a call-out waited for is established; the engine answers with proceed or cancel. */
    void connectionReady(CallOut callOut);

    /** A probe of a member has ended; took: its duration in nanoseconds. */
    void probeEnded(Member member, Outcome outcome, long took, LoadReport report);

    /** The client of an RPC has disconnected or has given up. */
    void clientGone(Rpc rpc);

    /** The deadline of an RPC that arrived earlier was brought forward. */
    default void deadlineShortened(Rpc rpc) { }

    /** Explains a pushback or abort in one line for the log; called only within the action that gives the answer. */
    default String explain(Rpc rpc) { return ""; }

    /** Ends the batch; the engine carries out what is due by now. */
    void endBatch();
}
