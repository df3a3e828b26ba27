package reedquay.net;

import reedquay.core.CallOut;

/** A call-out or a probe, from its submission to a pool until its outcome. Times in nanoseconds. */
final class MemberRequest {
    /** Null for a probe. */
    final CallOut callOut;
    final Pool pool;
    final long startedAt;
    /** When the gateway stops waiting for the response. */
    final long deadline;
    /** The connection that is reserved for it or carries it; null while it waits for one. */
    MemberConnection connection;
    boolean completed;

    MemberRequest(CallOut callOut, Pool pool, long startedAt, long deadline) {
        this.callOut = callOut;
        this.pool = pool;
        this.startedAt = startedAt;
        this.deadline = deadline;
    }
}
