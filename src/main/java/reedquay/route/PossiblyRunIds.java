package reedquay.route;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of RPCs that may have run at a member and must not run twice, whatever became of their clients. An RPC that
 * comes with such an id is not sent on. An id is remembered for a time, and the oldest ones are forgotten where there
 * are too many. Times in nanoseconds. Not thread-safe.
 */
public final class PossiblyRunIds {
    private final int maxIds;
    private final long duration;
    private final Map<Long, Long> rememberedAt = new LinkedHashMap<>(); // oldest first

    /** maxIds, duration: how many ids are remembered, and for how long. */
    public PossiblyRunIds(int maxIds, long duration) {
        this.maxIds = maxIds;
        this.duration = duration;
    }

    /** The RPC of that id has ended, and may have run. */
    public void add(long id, long now) {
        rememberedAt.remove(id);
        rememberedAt.put(id, now);
        var entries = rememberedAt.entrySet().iterator();
        while (rememberedAt.size() > maxIds || now - rememberedAt.values().iterator().next() >= duration) {
            entries.next();
            entries.remove();
        }
    }

    /** Whether an RPC of that id may have run. */
    public boolean contains(long id, long now) {
        Long at = rememberedAt.get(id);
        return at != null && now - at < duration;
    }

    /** How many ids are remembered. */
    public int size() {
        return rememberedAt.size();
    }
}
