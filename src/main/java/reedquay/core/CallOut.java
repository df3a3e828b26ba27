package reedquay.core;

/** One sending of an RPC to a member. */
public final class CallOut {
    public final Rpc rpc;
    public final Member member;
    /** When it went; set anew where it had to wait for its connection. */
    public long sentAt;
    public boolean ended;
    /** Set by the front while it still waits for its connection: it has not gone, and cannot but by go. */
    public boolean awaitingConnection;
    /** What the front keeps about it; nobody else reads it. */
    public Object frontState;

    public CallOut(Rpc rpc, Member member, long sentAt) {
        this.rpc = rpc;
        this.member = member;
        this.sentAt = sentAt;
    }
}
