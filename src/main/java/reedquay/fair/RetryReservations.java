package reedquay.fair;

import java.util.Arrays;

/**
 * Reservations of service at the retry-after times that pushed-back clients are given. A schedule counts the
 * reservations in each time slot and keeps them below a part of the RPCs that can be served in it, so that retries are
 * spread over time and can be admitted. A client has at most one reservation in each schedule, which a few of its RPCs
 * share. Reservations are kept in a hash table that is allocated at construction; if it has no free place for a client,
 * the client gets no reservation and no retry-after. Clients are identified by 64-bit keys. Times are in nanoseconds.
 * Single-threaded; reads no clock.
 */
final class RetryReservations {
    private static final int MAX_PROBE_LENGTH = 8; // places of the table that are searched for a client
    private static final int MAX_RPCS_PER_CLIENT = 4; // RPCs of one client that share a reservation

    private final long slotWidth;
    private final long maxRetryAfter;
    private final long lateTolerance;
    private final int slotCount;
    private final long[] clientKeys;
    private final long[] dueAt; // 0 for a free place
    private final int[] scheduleIndex;
    private final byte[] outstanding; // RPCs of the client that have yet to redeem the reservation
    private long latestDueAt = Long.MIN_VALUE; // of all reservations so far, redeemed ones included

    /**
     * slotWidth: the length of a time slot; maxRetryAfter: the longest retry-after; lateTolerance: how much later than
     * its time a client may redeem a reservation (it can't redeem it earlier); maxReservations: the maximum number of
     * reservations at a time.
     */
    RetryReservations(long slotWidth, long maxRetryAfter, long lateTolerance, int maxReservations) {
        this.lateTolerance = lateTolerance;
        this.slotWidth = slotWidth;
        this.maxRetryAfter = maxRetryAfter;
        slotCount = (int) (maxRetryAfter / slotWidth) + 2;
        int tableSize = Integer.highestOneBit(Math.max(MAX_PROBE_LENGTH, 2 * maxReservations - 1)) << 1;
        clientKeys = new long[tableSize];
        dueAt = new long[tableSize];
        scheduleIndex = new int[tableSize];
        outstanding = new byte[tableSize];
    }

    long memoryBytes() { return clientKeys.length * 21L; }

    /** Whether there may be a reservation that can still be redeemed. */
    boolean mayHaveOutstanding(long now) { return now - maxRetryAfter <= latestDueAt; }

    /** The schedule of one traffic class: the number of reservations in each time slot. */
    final class Schedule {
        private final int index;
        private final int[] reservedInSlot = new int[slotCount];
        private long oldestSlot; // the current slot at the last call of advance; earlier ones are cleared

        Schedule(int index) { this.index = index; }

        private void advance(long now) {
            long currentSlot = now / slotWidth;
            if (currentSlot - oldestSlot >= slotCount) {
                Arrays.fill(reservedInSlot, 0);
            } else {
                for (long slot = oldestSlot; slot < currentSlot; slot++) {
                    reservedInSlot[(int) (slot % slotCount)] = 0;
                }
            }
            oldestSlot = Math.max(oldestSlot, currentSlot);
        }

        /**
         * Reserves a time for a client and returns the retry-after: no shorter than minDelay, in a slot where
         * rpcsPerSecond allows another reservation. Returns 0 if there is no such slot or no place in the table. An
         * existing reservation stays, and a few more RPCs of the client share it as long as its slot allows; it isn't
         * known which RPCs of the client were given it before.
         */
        long reserve(long clientKey, long now, long minDelay, double rpcsPerSecond) {
            if (maxRetryAfter <= 0) {
                return 0;
            }
            int existing = findReservation(clientKey, index);
            if (existing >= 0 && dueAt[existing] > now) {
                advance(now);
                int slotIndex = (int) (dueAt[existing] / slotWidth % slotCount);
                if (outstanding[existing] >= MAX_RPCS_PER_CLIENT
                        || reservedInSlot[slotIndex] >= (int) (rpcsPerSecond * slotWidth / 1e9)) {
                    return 0;
                }
                reservedInSlot[slotIndex]++;
                outstanding[existing]++;
                return dueAt[existing] - now;
            }
            if (existing >= 0 && now - lateTolerance <= dueAt[existing]) {
                return 0; // the RPCs that were given the reservation may be about to arrive
            }
            int target = existing >= 0 ? existing : findFree(clientKey, index, now);
            advance(now);
            int maxPerSlot = (int) (rpcsPerSecond * slotWidth / 1e9);
            long jitter = (clientKey ^ now) * 0x9E3779B97F4A7C15L >>> 33;
            for (long slot = (now + Math.max(minDelay, slotWidth)) / slotWidth;
                    target >= 0 && (slot + 1) * slotWidth <= now + maxRetryAfter; slot++) {
                int reserved = reservedInSlot[(int) (slot % slotCount)];
                // at a rate below one RPC per slot, every so many slots take one
                boolean takesSingle = maxPerSlot == 0 && reserved == 0
                        && (slot * slotWidth / 1e9 * rpcsPerSecond) % 1 + rpcsPerSecond * slotWidth / 1e9 >= 1;
                if (reserved < maxPerSlot || takesSingle) {
                    reservedInSlot[(int) (slot % slotCount)]++;
                    clientKeys[target] = clientKey;
                    scheduleIndex[target] = index;
                    dueAt[target] = slot * slotWidth + jitter % slotWidth;
                    outstanding[target] = 1;
                    latestDueAt = Math.max(latestDueAt, dueAt[target]);
                    return dueAt[target] - now;
                }
            }
            return 0;
        }

        /**
         * Records a retry-after that the Router chose as a reservation, if the table has a place; the number per time
         * slot is not limited. Returns the retry-after to give: that of the client's existing reservation if there is
         * one to share, else the Router's.
         */
        long record(long clientKey, long now, long retryAfter) {
            int existing = findReservation(clientKey, index);
            if (existing >= 0 && dueAt[existing] > now && outstanding[existing] < MAX_RPCS_PER_CLIENT) {
                outstanding[existing]++;
                return dueAt[existing] - now;
            }
            int target = existing >= 0 && now - lateTolerance <= dueAt[existing] ? -1
                    : existing >= 0 ? existing : findFree(clientKey, index, now);
            if (target >= 0) {
                clientKeys[target] = clientKey;
                scheduleIndex[target] = index;
                dueAt[target] = now + retryAfter;
                outstanding[target] = 1;
                latestDueAt = Math.max(latestDueAt, dueAt[target]);
            }
            return retryAfter;
        }

        /** Whether the client has a reservation that is due now; consumes it for one RPC. */
        boolean redeem(long clientKey, long now) {
            int position = findReservation(clientKey, index);
            if (position < 0 || dueAt[position] > now || now - lateTolerance > dueAt[position]) {
                return false;
            }
            dueAt[position] = --outstanding[position] == 0 ? 0 : dueAt[position];
            return true;
        }

        /** Whether the client has a reservation for later than now. */
        boolean isEarly(long clientKey, long now) {
            int position = findReservation(clientKey, index);
            return position >= 0 && dueAt[position] > now;
        }
    }

    private int tableIndex(long clientKey, int schedule, int offset) {
        return (int) ((clientKey + schedule) * 0x9E3779B97F4A7C15L >>> 32) + offset & clientKeys.length - 1;
    }

    /** The client's place in the table; -1 where it has none. */
    private int findReservation(long clientKey, int schedule) {
        for (int i = 0; i < MAX_PROBE_LENGTH; i++) {
            int position = tableIndex(clientKey, schedule, i);
            if (dueAt[position] != 0 && clientKeys[position] == clientKey && scheduleIndex[position] == schedule) {
                return position;
            }
        }
        return -1;
    }

    /** A place that is free or whose reservation has expired; -1 where there is none. */
    private int findFree(long clientKey, int schedule, long now) {
        for (int i = 0; i < MAX_PROBE_LENGTH; i++) {
            int position = tableIndex(clientKey, schedule, i);
            if (dueAt[position] == 0 || now - maxRetryAfter > dueAt[position]) {
                return position;
            }
        }
        return -1;
    }
}
