package reedquay.core;

/** A call-out: one attempt of the gateway to have an RPC answered by a member. */
public final class CallOut {
    public final Rpc rpc;
    public final Member member;
    /** When it was sent, in nanoseconds; updated when it is sent after waiting for a connection. */
    public long sentAt;
    /** Whether its outcome is known. */
    public boolean ended;
    /** Set by the front: it has been written to a member, and no outcome proves that the member did not run it. */
    public boolean mayHaveRun;
    /**
     * Set by the front while the call-out waits for a connection: it has not been sent, and will not be without
     * {@link RoutingActions#proceed}.
     */
    public boolean awaitingConnection;
    /** The front's own state of this call-out; only the front reads it. */
    public Object frontState;

    public CallOut(Rpc rpc, Member member, long sentAt) {
        this.rpc = rpc;
        this.member = member;
        this.sentAt = sentAt;
    }
}
