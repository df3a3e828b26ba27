package reedquay.core;

/** What the decisions can bring about; carried out in the order of the calls. */
public interface RoutingActions {
    /** The call-out has been added to its RPC's list; limit counts from now. */
    void sendCallOut(CallOut callOut, long limit);

    /** What ready asked about goes out now. */
    void proceed(CallOut callOut);

    void cancel(CallOut callOut);

    /** after: when to come back, 0 for no advice. */
    void pushBack(Rpc rpc, long after);

    void abort(Rpc rpc);

    void probe(Member member);

    /** Connections to the member that carry nothing now are not to be used again. */
    void closeIdleConnections(Member member);

    /** The member is gone and nothing is out there: nothing of it is kept; named again it is a new one. */
    void forgetMember(Member member);

    void scheduleWakeUp(long delay);

    void requestMemberList();

    void log(String line);
}
