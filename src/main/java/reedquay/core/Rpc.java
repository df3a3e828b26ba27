package reedquay.core;

import java.util.ArrayList;
import java.util.List;

/** An RPC of a client, with its call-outs in their order. */
public final class Rpc {
    public final long id;
    public final int group;
    public final String session;
    /** When its client gives up, in nanoseconds, or an earlier time at a shutdown of this gateway; set by the front. */
    public long deadline;
    /** Whether it is a client's retry; a stage clears this where the client waited as its retry-after asked. */
    public boolean retry;
    /** How long before arrival the session's last write was, in nanoseconds, by the client's token; 0 without one. */
    public final long sessionTokenAge;
    public final String tenant;
    /** Null where the settings do not name the method. */
    public final Method method;
    public final List<CallOut> callOuts = new ArrayList<>(2);
    /** The id by which the front distinguishes clients; null where only the tenant is known. */
    public String clientId;
    /** A stage's own state of this RPC; only the stage that set it reads it. */
    public Object stageState;
    /** Whether the final answer has been given, or the client has left. */
    public boolean ended;
    /** The routing engine's own state of this RPC; only the engine reads it. */
    public Object routingState;
    /** The front's own state of this RPC; only the front reads it. */
    public Object frontState;

    public Rpc(long id, int group, String session, long deadline, boolean retry, long sessionTokenAge, String tenant,
            Method method) {
        this.id = id;
        this.group = group;
        this.session = session;
        this.deadline = deadline;
        this.retry = retry;
        this.sessionTokenAge = sessionTokenAge;
        this.tenant = tenant;
        this.method = method;
    }
}
