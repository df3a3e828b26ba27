package reedquay.route;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The members that were removed after they had reported themselves replicas, and when they did, for a bounded number of
 * members. A member list may name roles of long ago, so a member that is listed again is the replica that it was until
 * it reports otherwise. The one that was removed first is forgotten first, and from then on every member that is not
 * remembered counts as having reported itself a replica when the newest forgotten one did: the member list alone makes
 * none a primary. Members are known by a hash of group and id; where two have the same one, both count as replicas.
 * Not thread-safe.
 */
final class RemovedReplicas {
    /** The answer for a member that has not reported itself a replica. */
    static final long NO_REPORT = Long.MIN_VALUE;

    private final int maxMembers;
    private final Map<Long, Long> reportedAt = new LinkedHashMap<>(); // removed first comes first
    private long newestForgotten = NO_REPORT;

    RemovedReplicas(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    private static long hash(int group, String memberId) {
        return Hashing.komihash5_0().hashStream().putInt(group).putChars(memberId).getAsLong();
    }

    /** A replica of the group is removed, which reported its role at that time. */
    void removed(int group, String memberId, long reportTime) {
        long key = hash(group, memberId);
        reportedAt.remove(key);
        reportedAt.put(key, reportTime);
        if (reportedAt.size() > maxMembers) {
            var oldest = reportedAt.entrySet().iterator();
            newestForgotten = Math.max(newestForgotten, oldest.next().getValue());
            oldest.remove();
        }
    }

    /** A member of the group is listed; returns when it reported itself a replica before, or NO_REPORT. */
    long listed(int group, String memberId) {
        Long remembered = reportedAt.isEmpty() ? null : reportedAt.remove(hash(group, memberId));
        return remembered == null ? newestForgotten : remembered;
    }
}
