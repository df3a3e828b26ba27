package reedquay.core;

/** One sending of an RPC to a member. */
public final class CallOut {
    public final Rpc rpc;
    public final Member member;
    public final long sentAt;
    public boolean ended;

    public CallOut(Rpc rpc, Member member, long sentAt) {
        this.rpc = rpc;
        this.member = member;
        this.sentAt = sentAt;
    }
}
