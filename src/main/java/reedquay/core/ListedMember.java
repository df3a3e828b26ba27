package reedquay.core;

/** An entry of the member list; startedAt: when the process started, in nanoseconds, 0 where it is not known. */
public record ListedMember(Member member, String zone, String machineType, int group, Phase phase, boolean primary,
        double weight, long startedAt) {
    /** The phase of a member's life; the names appear in trace lines. */
    public enum Phase { UP, DRAINING, GONE }

    /** A full list, changes to the last one, a full list of an earlier time, or no list: the request was refused. */
    public enum ListKind { FULL, CHANGES, CACHED, REFUSED }
}
