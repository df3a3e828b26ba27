package reedquay.sessions;

import java.util.HashMap;
import java.util.Map;

/**
 * Which session each open request id belongs to: an id is open from the moment in which its statement was read to the
 * statement's final answer, whether it waits, is checked, or is in flight. The session that was first to send an id
 * keeps it until then. Not thread-safe.
 */
public final class OpenRequestIds<S> {
    /** The memory that an open id takes, in bytes; rounded up. */
    public static final int BYTES_PER_ID = 128;

    private final Map<Long, S> owners = new HashMap<>();

    /** The session has sent a statement with that id; returns whether the id is the session's by this. */
    public boolean open(long id, S session) {
        return owners.putIfAbsent(id, session) == null;
    }

    /** The session's statement with that id has ended, in any way; returns whether the id was the session's. */
    public boolean close(long id, S session) {
        return owners.remove(id, session);
    }

    /** The session that the open id belongs to; null where the id is not open. */
    public S owner(long id) {
        return owners.get(id);
    }

    /** How many ids are open. */
    public int size() {
        return owners.size();
    }
}
