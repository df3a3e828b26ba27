package reedquay.memory;

import java.util.HashMap;
import java.util.Map;

/**
 * Account of the memory that complete statements of clients take until they are answered, and the decision whether one
 * more may take some. The rule is that of dynamic thresholds for shared memory (Choudhury and Hahne, 1998): a group may
 * hold as much as is free, and a tenant of it as much as the group could still add. So one group in trouble holds up to
 * half of the memory and the other half stays free for others, two hold a third each; what a group does not use is lent
 * to the others. Statements that wait behind another one of their client, of which the group is not known yet, count as
 * a group of their own. Not thread-safe.
 */
public final class StatementMemory {
    /** A tenant of a group; tenant: null where the statement names none. */
    private record TenantKey(int group, String tenant) { }

    private final long maxBytes;
    private final Map<Integer, Long> byGroup = new HashMap<>();
    private final Map<TenantKey, Long> byTenant = new HashMap<>();
    private long queuedBytes;
    private long totalBytes;

    /** maxBytes: how much all statements together may take. */
    public StatementMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes memory for a statement of that group and tenant; false, and nothing taken, where the rule forbids it. */
    public boolean tryHold(int group, String tenant, long bytes) {
        TenantKey key = new TenantKey(group, tenant);
        long free = maxBytes - totalBytes - bytes;
        long groupBytes = byGroup.getOrDefault(group, 0L) + bytes;
        long tenantBytes = byTenant.getOrDefault(key, 0L) + bytes;
        if (groupBytes > free || tenantBytes > free - groupBytes) {
            return false;
        }
        byGroup.put(group, groupBytes);
        byTenant.put(key, tenantBytes);
        totalBytes += bytes;
        return true;
    }

    /** Returns what tryHold has taken. */
    public void release(int group, String tenant, long bytes) {
        subtract(byGroup, group, bytes);
        subtract(byTenant, new TenantKey(group, tenant), bytes);
        totalBytes -= bytes;
    }

    private static <K> void subtract(Map<K, Long> account, K key, long bytes) {
        account.computeIfPresent(key, (k, held) -> held == bytes ? null : held - bytes);
    }

    /**
     * Whether messages of a client that wait behind another one of it may take some more bytes; clientBytes: what they
     * have taken before. A client may have as much as all that wait could still add.
     */
    public boolean mayQueue(long clientBytes, long bytes) {
        long free = maxBytes - totalBytes - bytes;
        long allQueuedBytes = queuedBytes + bytes;
        return allQueuedBytes <= free && clientBytes + bytes <= free - allQueuedBytes;
    }

    /** Takes memory for messages that wait, whatever is free. */
    public void queue(long bytes) {
        queuedBytes += bytes;
        totalBytes += bytes;
    }

    /** Returns what queue has taken. */
    public void releaseQueued(long bytes) {
        queuedBytes -= bytes;
        totalBytes -= bytes;
    }

    /** The bytes taken by all statements. */
    public long totalBytes() {
        return totalBytes;
    }
}
