package reedquay.core;

/** An entry of the member list. */
public record ListedMember(Member member, String zone, String machineType, int group, Phase phase, boolean primary,
        double weight, long startedAt) {
    public enum Phase { UP, DRAINING, GONE }

    public enum ListKind { FULL, CHANGES, CACHED, REFUSED }
}
