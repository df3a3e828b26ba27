package reedquay.fair;

import java.util.Map;

/** What operators set: how many RPCs may wait, and weights of tenants that differ from the settings' shares. */
public record AdmissionSettings(int maxWaiting, Map<String, Double> tenantWeights) {
    /** Bytes that one waiting RPC takes here, its own message left out. */
    public static final int BYTES_PER_WAITING_RPC = 260;

    public AdmissionSettings {
        tenantWeights = Map.copyOf(tenantWeights);
    }

    /** As many as fit into so many bytes. */
    public static int maxWaitingWithin(long bytes) {
        return (int) Math.max(16, Math.min(1 << 20, bytes / BYTES_PER_WAITING_RPC));
    }
}
