package reedquay.core;

import java.util.List;

/** A routing engine: the inputs that its decisions are based on. All inputs of a batch happened at the same time. */
public interface RoutingEngine {
    /** Begins a batch of inputs at the given time in nanoseconds. */
    void beginBatch(long now);

    /** A member list, or a part of one, has come; kind says how the entries relate to what is known. */
    void membersListed(ListedMember.ListKind kind, List<ListedMember> entries);

    /** A client has sent an RPC. */
    void rpcArrived(Rpc rpc);

    /**
     * A call-out has ended after so many nanoseconds. ended: the RPC has its final answer, by this outcome or earlier.
     * Position, role and report are what the answer says of the member.
     */
    void callOutEnded(CallOut callOut, Outcome outcome, long took, boolean ended, long position, Role role,
            LoadReport report);

    /** The connection that a call-out waited for is established; the engine answers with proceed or cancel. */
    void connectionReady(CallOut callOut);

    /** A probe of a member has ended after so many nanoseconds. */
    void probeEnded(Member member, Outcome outcome, long took, LoadReport report);

    /** The client of an RPC has disconnected or has given up. */
    void clientGone(Rpc rpc);

    /** The deadline of an RPC that has arrived earlier is now sooner than it was. */
    default void deadlineShortened(Rpc rpc) { }

    /** Explains a pushback or abort in one line for the log; called only during the action that gives the answer. */
    default String explain(Rpc rpc) { return ""; }

    /** Ends the batch; the engine carries out what is due by now. */
    void endBatch();
}
