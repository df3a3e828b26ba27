package reedquay.fair;

import java.util.Map;

/**
 * Operators' settings of admission control: how many RPCs may wait, and the weights of tenants whose weight differs
 * from their quota in the gateway's settings.
 */
public record AdmissionSettings(int maxWaiting, Map<String, Double> tenantWeights) {
    /** Memory of one waiting RPC in admission control, without its message. */
    public static final int BYTES_PER_WAITING_RPC = 260;

    public AdmissionSettings {
        tenantWeights = Map.copyOf(tenantWeights);
    }

    /** The number of waiting RPCs that fit into so many bytes, from 16 to 2^20. */
    public static int maxWaitingWithin(long bytes) {
        return (int) Math.max(16, Math.min(1 << 20, bytes / BYTES_PER_WAITING_RPC));
    }
}
