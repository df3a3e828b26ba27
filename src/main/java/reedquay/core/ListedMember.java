package reedquay.core;

/**
 * An entry of the member list. group: the number of its replication group; primary: whether the list names it as that
 * group's primary; startedAt: when the process started, in nanoseconds, 0 where it is not known.
 */
public record ListedMember(Member member, String zone, String machineType, int group, Phase phase, boolean primary,
        double weight, long startedAt) {
    /** The lifecycle phase of a member; the names appear in trace lines. */
    public enum Phase { UP, DRAINING, GONE }

    /**
     * The kind of a list: a full list, changes to the previous one, a full list saved before a restart, or none, since
     * the request was refused.
     */
    public enum ListKind { FULL, CHANGES, CACHED, REFUSED }
}
