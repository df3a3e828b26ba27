package reedquay.core;

/** An entry of the member list. */
public record Listed(Member member, String zone, String kind, int group, Phase phase, boolean primary,
        double size, long startedAt) {
    public enum Phase { UP, DRAINING, GONE }

    public enum ListKind { FULL, CHANGES, REMEMBERED, REFUSED }
}
