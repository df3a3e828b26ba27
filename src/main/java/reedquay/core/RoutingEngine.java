package reedquay.core;

import java.util.List;

/** What the decisions are told. All inputs between begin and end happened at the same moment. */
public interface RoutingEngine {
    void beginBatch(long now);

    void membersListed(ListedMember.ListKind kind, List<ListedMember> entries);

    void rpcArrived(Rpc rpc);

    /** ended: the RPC has its final answer, by this outcome or earlier. The answer's position and role. */
    void callOutEnded(CallOut callOut, Outcome outcome, long took, boolean ended, long position, Role role,
            LoadReport report);

    /** The connection that a call-out had to wait for is there: answered by go or cancel. */
    void connectionReady(CallOut callOut);

    void probeEnded(Member member, Outcome outcome, long took, LoadReport report);

    void clientGone(Rpc rpc);

    /** The RPC, already in hand, is due sooner than it was told to be. */
    default void deadlineShortened(Rpc rpc) { }

    /** What an answer just decided goes by, in one line for a log; asked within the effect that gives it. */
    default String explain(Rpc rpc) { return ""; }

    void endBatch();
}
