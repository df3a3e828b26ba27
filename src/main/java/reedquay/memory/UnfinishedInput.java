package reedquay.memory;

import java.util.HashMap;
import java.util.Map;

/**
 * Account of the memory that incomplete messages reserve, and the decision which of them to reject while that is too
 * much. What counts is the capacity of the buffers and not the bytes received, since a buffer is larger than its
 * content and is reserved until it is released. An owner is whatever receives a message: a client's session or a
 * connection to a member. Not thread-safe.
 */
public final class UnfinishedInput<O> {
    /** What one owner's message reserves; since: when the message began, on any clock that does not go back. */
    private record Reservation(long bytes, long since) {
        /** Whether this one is rejected before the other: it costs more, or about as much and is older. */
        boolean isRejectedBefore(Reservation other) {
            return magnitude() > other.magnitude() || magnitude() == other.magnitude() && since < other.since;
        }

        /** The power of two below; costs that differ by less than a factor of two count as the same. */
        private long magnitude() {
            return Long.highestOneBit(bytes);
        }
    }

    private final long maxBytes;
    private final Map<O, Reservation> reservations = new HashMap<>();
    private long totalBytes;

    /** maxBytes: how much all incomplete messages together may reserve. */
    public UnfinishedInput(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Sets what the owner's incomplete message reserves, 0 for none. since: when that message began; ignored while the
     * owner already has one.
     */
    public void setReserved(O owner, long bytes, long since) {
        Reservation previous = bytes == 0 ? reservations.remove(owner) : reservations.get(owner);
        if (bytes != 0) {
            reservations.put(owner, new Reservation(bytes, previous == null ? since : previous.since));
        }
        totalBytes += bytes - (previous == null ? 0 : previous.bytes);
    }

    /** The bytes that all incomplete messages reserve. */
    public long totalBytes() {
        return totalBytes;
    }

    /**
     * The owner whose message is to be rejected now, null while the limit is kept: the one that reserves most, and
     * of several alike the one whose message began first, since a message that is still arriving is usually young.
     */
    public O ownerToReject() {
        if (totalBytes <= maxBytes) {
            return null;
        }
        Map.Entry<O, Reservation> first = null;
        for (Map.Entry<O, Reservation> entry : reservations.entrySet()) {
            if (first == null || entry.getValue().isRejectedBefore(first.getValue())) {
                first = entry;
            }
        }
        return first.getKey();
    }
}
