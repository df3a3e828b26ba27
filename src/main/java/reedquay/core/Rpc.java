package reedquay.core;

import java.util.ArrayList;
import java.util.List;

/** An RPC of a client, with its call-outs in their order. */
public final class Rpc {
    public final long id;
    public final int group;
    public final String session;
    /** When its client gives up, or an earlier shutdown of this gateway, in nanoseconds; only the front sets it. */
    public long deadline;
    /** Whether it is a client's retry; a stage clears this for a retry at the time that it gave the client. */
    public boolean retry;
    /** The age of the session's last write at arrival, by the token sent, in nanoseconds; 0 where there is none. */
    public final long sessionTokenAge;
    public final String tenant;
    /** Null where the settings do not name the method. */
    public final Method method;
    public final List<CallOut> callOuts = new ArrayList<>(2);
    /** Identifies the client, by what the front tells clients apart; null where only the tenant is known. */
    public String clientId;
    /** The own state of a stage before the engine; only that stage reads it. */
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
