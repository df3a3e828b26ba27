package reedquay.core;

/** The actions that a routing engine can take; the front carries them out in the order of the calls. */
public interface RoutingActions {
    /** Sends a call-out, already added to its RPC's list; timeout: nanoseconds from now, 0 for the RPC's deadline. */
    void sendCallOut(CallOut callOut, long timeout);

    /** Sends the call-out whose connection was reported ready. */
    void proceed(CallOut callOut);

    /** Cancels a call-out; its outcome is reported nevertheless. */
    void cancel(CallOut callOut);

    /** Answers an RPC with a pushback; retryAfter: nanoseconds until the client may retry, 0 for no advice. */
    void pushBack(Rpc rpc, long retryAfter);

    /** Answers an RPC with an abort: it failed and may have run. */
    void abort(Rpc rpc);

    /** Sends a probe to a member. */
    void probe(Member member);

    /** Closes the idle connections to a member, so that they are not used again. */
    void closeIdleConnections(Member member);

    /** Drops all state of a member that is gone and has nothing in flight; if listed again, it is a new member. */
    void forgetMember(Member member);

    /** Schedules an empty batch after a delay in nanoseconds; replaces an earlier wake-up. */
    void scheduleWakeUp(long delay);

    /** Requests the member list, where it is sent on request only. */
    void requestMemberList();

    /** Writes a line to the log. */
    void log(String line);
}
