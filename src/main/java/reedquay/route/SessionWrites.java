package reedquay.route;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When each session last wrote, for a bounded number of sessions of any names. The session whose write is oldest is
 * forgotten first, and from then on every session that is not remembered counts as having written when the newest
 * forgotten one did. So an answer is never earlier than the truth, and a read that relies on it never sees data older
 * than its session's last write. Sessions are known by a hash of their names; where two have the same one, both count
 * as having written when the later one did. Not thread-safe.
 */
final class SessionWrites {
    /** The answer for a session that has not written. */
    static final long NO_WRITE = Long.MIN_VALUE;

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private final int maxSessions;
    private final Map<Long, Long> lastWrites = new LinkedHashMap<>(); // oldest write first
    private long newestForgotten = NO_WRITE;

    SessionWrites(int maxSessions) {
        this.maxSessions = maxSessions;
    }

    private static long hash(String session) {
        return HASHER.hashCharsToLong(session);
    }

    /** The session has written at that time, which is not before any earlier one. */
    void written(String session, long time) {
        long key = hash(session);
        lastWrites.remove(key);
        lastWrites.put(key, time);
        if (lastWrites.size() > maxSessions) {
            var oldest = lastWrites.entrySet().iterator();
            newestForgotten = oldest.next().getValue();
            oldest.remove();
        }
    }

    /** When the session last wrote, or a later time; NO_WRITE if it cannot have written. */
    long lastWrite(String session) {
        return lastWrites.getOrDefault(hash(session), newestForgotten);
    }
}
