package reedquay.memory;

import java.util.HashMap;
import java.util.Map;

/**
 * Account of the memory that buffers of one use reserve, such as incomplete messages or answers that are not read, and
 * the decision which owner has to give its buffer up while that is too much. What counts is the capacity of the buffers
 * and not the bytes in them, since a buffer is larger than its content and is reserved until it is released. An owner
 * is whatever fills a buffer: a client's session or a connection to a member. Not thread-safe.
 */
public final class BufferReservations<O> {
    /** What one owner's buffer reserves; since: when it began to fill, on any clock that does not go back. */
    private record Reservation(long bytes, long since) {
        /** Whether this one is released before the other: it costs more, or about as much and is older. */
        boolean isReleasedBefore(Reservation other) {
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

    /** maxBytes: how much all owners together may reserve. */
    public BufferReservations(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Sets what the owner reserves, 0 for nothing. since: when its buffer began to fill; ignored while the owner
     * already reserves something.
     */
    public void setReserved(O owner, long bytes, long since) {
        Reservation previous = bytes == 0 ? reservations.remove(owner) : reservations.get(owner);
        if (bytes != 0) {
            reservations.put(owner, new Reservation(bytes, previous == null ? since : previous.since));
        }
        totalBytes += bytes - (previous == null ? 0 : previous.bytes);
    }

    /** The bytes that all owners reserve. */
    public long totalBytes() {
        return totalBytes;
    }

    /**
     * The owner that has to give its buffer up now, null while the limit is kept: the one that reserves most, and of
     * several alike the one that began first, since what is still moving is usually young.
     */
    public O ownerToRelease() {
        if (totalBytes <= maxBytes) {
            return null;
        }
        Map.Entry<O, Reservation> first = null;
        for (Map.Entry<O, Reservation> entry : reservations.entrySet()) {
            if (first == null || entry.getValue().isReleasedBefore(first.getValue())) {
                first = entry;
            }
        }
        return first.getKey();
    }
}
