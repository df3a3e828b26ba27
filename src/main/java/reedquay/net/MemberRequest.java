package reedquay.net;

import reedquay.core.CallOut;

/** A call-out or a probe on its way to a member. */
final class MemberRequest {
    /** Null for a probe. */
    final CallOut callOut;
    final Pool pool;
    final long startedAt;
    /** When this side stops waiting. */
    final long deadline;
    /** Set while it has a connection to itself. */
    MemberConnection connection;
    boolean completed;

    MemberRequest(CallOut callOut, Pool pool, long startedAt, long until) {
        this.callOut = callOut;
        this.pool = pool;
        this.startedAt = startedAt;
        this.deadline = until;
    }
}
