package reedquay.fair;

import java.util.Arrays;

/**
 * When those who were turned away are told to come back, and who has come as told. A calendar says how many are told
 * to come in each step of time, never more than a part of what is served in it, so that they do not land together and
 * find their turn; a client has one time on each way, for a few of its RPCs. All is fixed at the start: a promise that
 * finds no place is not made, and nothing is told. Clients are 64-bit keys. One thread; no clock.
 */
final class RetryReservations {
    private static final int MAX_PROBE_LENGTH = 8; // places in the table that one client can have
    private static final int MAX_RPCS_PER_CLIENT = 4; // RPCs of one client that are told the same time
    private final long slotWidth;
    private final long maxRetryAfter;
    private final long lateTolerance;
    private final int slotCount;
    private final long[] clientKeys;
    private final long[] dueAt; // when it was told to come; 0: a free place
    private final int[] scheduleIndex;
    private final byte[] outstanding; // for how many of the client's RPCs
    private long latestDueAt = Long.MIN_VALUE; // the furthest that was told

    /**
     * step: the calendar's unit; longest: the furthest that can be told; late: how much later one that was told
     * may come, no sooner; most: promises at a time. Nanoseconds.
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

    /** Whether anybody may still come as told. */
    boolean mayHaveOutstanding(long now) { return now - maxRetryAfter <= latestDueAt; }

    /** The calendar of one way: how many come in each step. */
    final class Schedule {
        private final int index;
        private final int[] reservedInSlot = new int[slotCount];
        private long oldestSlot; // the step that told[from % steps] is of; older ones are cleared as time goes

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
         * After how long the client is to come: no sooner than the wait, by a rate of RPCs a second at which what is
         * promised can be served. 0 where no honest time can be told. A time it was told stands, and is told to a few
         * more of its RPCs as long as they can be served too: which of them came before, by themselves, is not known.
         */
        long reserve(long clientKey, long now, long minDelay, double rpcsPerSecond) {
            if (maxRetryAfter <= 0) {
                return 0;
            }
            int existing = findReservation(clientKey, index);
            if (existing >= 0 && dueAt[existing] > now) {
                advance(now);
                int slotIndex = (int) (dueAt[existing] / slotWidth % slotCount);
                if (outstanding[existing] >= MAX_RPCS_PER_CLIENT || reservedInSlot[slotIndex] >= (int) (rpcsPerSecond * slotWidth / 1e9)) {
                    return 0;
                }
                reservedInSlot[slotIndex]++;
                outstanding[existing]++;
                return dueAt[existing] - now;
            }
            if (existing >= 0 && now - lateTolerance <= dueAt[existing]) {
                return 0; // those that were told may be just about to come
            }
            int target = existing >= 0 ? existing : findFree(clientKey, index, now);
            advance(now);
            int maxPerSlot = (int) (rpcsPerSecond * slotWidth / 1e9);
            long jitter = (clientKey ^ now) * 0x9E3779B97F4A7C15L >>> 33;
            for (long slot = (now + Math.max(minDelay, slotWidth)) / slotWidth; target >= 0 && (slot + 1) * slotWidth <= now + maxRetryAfter; slot++) {
                int reserved = reservedInSlot[(int) (slot % slotCount)];
                // below one a step, some steps have one
                boolean takesSingle = maxPerSlot == 0 && reserved == 0 && (slot * slotWidth / 1e9 * rpcsPerSecond) % 1 + rpcsPerSecond * slotWidth / 1e9 >= 1;
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

        /** Another would tell it to come after so long: kept too, as far as there is a place. What it is told. */
        long record(long clientKey, long now, long retryAfter) {
            int existing = findReservation(clientKey, index);
            if (existing >= 0 && dueAt[existing] > now && outstanding[existing] < MAX_RPCS_PER_CLIENT) {
                outstanding[existing]++;
                return dueAt[existing] - now;
            }
            int target = existing >= 0 && now - lateTolerance <= dueAt[existing] ? -1 : existing >= 0 ? existing : findFree(clientKey, index, now);
            if (target >= 0) {
                clientKeys[target] = clientKey;
                scheduleIndex[target] = index;
                dueAt[target] = now + retryAfter;
                outstanding[target] = 1;
                latestDueAt = Math.max(latestDueAt, dueAt[target]);
            }
            return retryAfter;
        }

        /** Whether the client was told to come now; kept once for each. */
        boolean redeem(long clientKey, long now) {
            int position = findReservation(clientKey, index);
            if (position < 0 || dueAt[position] > now || now - lateTolerance > dueAt[position]) {
                return false;
            }
            dueAt[position] = --outstanding[position] == 0 ? 0 : dueAt[position];
            return true;
        }

        /** Whether it was told to come later than now. */
        boolean isEarly(long clientKey, long now) {
            int position = findReservation(clientKey, index);
            return position >= 0 && dueAt[position] > now;
        }
    }

    private int tableIndex(long clientKey, int schedule, int offset) {
        return (int) ((clientKey + schedule) * 0x9E3779B97F4A7C15L >>> 32) + offset & clientKeys.length - 1;
    }

    private int findReservation(long clientKey, int schedule) {
        for (int i = 0; i < MAX_PROBE_LENGTH; i++) {
            int position = tableIndex(clientKey, schedule, i);
            if (dueAt[position] != 0 && clientKeys[position] == clientKey && scheduleIndex[position] == schedule) {
                return position;
            }
        }
        return -1;
    }

    /** A place that is free, or whose promise has lapsed. */
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
