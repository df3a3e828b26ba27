package reedquay.core;

import java.util.ArrayList;
import java.util.List;

/** An RPC taken from a client, and the call-outs made for it in their order. */
public final class Rpc {
    public final long id;
    public final int group;
    public final String session;
    /** When its client gives up, or a stop of this gateway that comes before; set by the front alone. */
    public long deadline;
    /** A client's further try; a stage takes the mark off one that it told to come. */
    public boolean retry;
    /** Age of the session's last write at arrival; 0 where there is none. */
    public final long sessionTokenAge;
    public final String tenant;
    /** Null where the settings do not know the method. */
    public final Method method;
    public final List<CallOut> callOuts = new ArrayList<>(2);
    /** Who calls, as the front tells clients apart; null where nothing but the tenant is known. */
    public String clientId;
    /** What a stage before the decisions keeps about it; nobody else reads it. */
    public Object stageState;
    /** The final answer has gone out, or the client has left. */
    public boolean ended;
    /** What the decisions keep about it; nobody else reads it. */
    public Object routingState;
    /** What the front keeps about it; nobody else reads it. */
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
