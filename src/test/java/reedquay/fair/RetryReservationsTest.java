package reedquay.fair;

import static org.junit.jupiter.api.Assertions.*;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests reservations by slot, their redemption and expiry, and compares them with a model of maps. */
class RetryReservationsTest {
    private static final long MS = 1_000_000;
    private static final long SLOT_WIDTH = 50 * MS;
    private static final long MAX_RETRY_AFTER = 1000 * MS;

    @Test void slotsNeverExceedTheServiceRate() {
        RetryReservations reservations = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 1000);
        RetryReservations.Schedule schedule = reservations.new Schedule(0);
        long now = 1_000_000 * MS;
        Map<Long, Integer> reservedBySlot = new HashMap<>();
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            long retryAfter = schedule.reserve(i * 77L + 1, now, 0, 100); // 5 per slot
            if (retryAfter == 0) {
                refused++;
                continue;
            }
            assertTrue(retryAfter > 0 && retryAfter <= MAX_RETRY_AFTER);
            reservedBySlot.merge((now + retryAfter) / SLOT_WIDTH, 1, Integer::sum);
        }
        assertTrue(reservedBySlot.values().stream().allMatch(n -> n <= 5), reservedBySlot.toString());
        assertTrue(reservedBySlot.size() >= 18, reservedBySlot.toString());
        assertEquals(400, reservedBySlot.values().stream().mapToInt(n -> n).sum() + refused);
        assertTrue(refused > 250, "a reservation that cannot be kept is not made");
    }

    @Test void ratesBelowOnePerSlotUseOnlySomeSlots() {
        RetryReservations.Schedule schedule = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 1000)
                .new Schedule(0);
        long now = 1_000_000 * MS;
        int reserved = 0;
        for (int i = 0; i < 100; i++) {
            reserved += schedule.reserve(i + 1, now, 0, 4) > 0 ? 1 : 0; // one in five slots
        }
        assertTrue(reserved >= 3 && reserved <= 5, "reservations at a rate of four per second: " + reserved);
    }

    @Test void reservationIsStableRedeemedOnceAndExpires() {
        RetryReservations reservations = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 100);
        RetryReservations.Schedule reads = reservations.new Schedule(0);
        RetryReservations.Schedule writes = reservations.new Schedule(1);
        long now = 1_000_000 * MS;
        long retryAfter = reads.reserve(42, now, 300 * MS, 1000);
        assertTrue(retryAfter >= 250 * MS, "no sooner than the minimum delay, to a slot: " + retryAfter);
        assertTrue(reads.isEarly(42, now + 100 * MS));
        assertEquals(retryAfter - 100 * MS, reads.reserve(42, now + 100 * MS, 900 * MS, 1000),
                "an existing reservation stays");

        assertFalse(reads.redeem(42, now + 100 * MS), "a reservation can't be redeemed early");
        assertFalse(writes.redeem(42, now + retryAfter), "a reservation holds for one traffic class");
        assertTrue(reads.redeem(42, now + retryAfter), "an early attempt doesn't lose the reservation");
        assertTrue(reads.redeem(42, now + retryAfter), "two RPCs share the reservation");
        assertFalse(reads.redeem(42, now + retryAfter), "it is redeemed once for each RPC");
        retryAfter = reads.reserve(42, now, 300 * MS, 1000);
        assertEquals(0, reads.reserve(42, now + retryAfter + 100 * MS, 0, 1000),
                "the holder of the reservation may still arrive");
        assertFalse(reads.redeem(42, now + retryAfter + 201 * MS), "the reservation has expired");
    }

    @Test void redeemsEachReservedRpcAndNoMore() {
        RetryReservations.Schedule schedule = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 100)
                .new Schedule(0);
        long now = 1_000_000 * MS;
        long retryAfter = schedule.reserve(42, now, 300 * MS, 1000);
        for (int i = 1; i < 4; i++) {
            assertEquals(retryAfter, schedule.reserve(42, now, 0, 1000), "a few RPCs of a client share a reservation");
        }
        assertTrue(schedule.isEarly(42, now + 50 * MS), "an early RPC doesn't lose the reservation");
        assertEquals(0, schedule.reserve(42, now + 50 * MS, 0, 1000), "no more than four RPCs share it");
        for (int i = 0; i < 4; i++) {
            assertTrue(schedule.redeem(42, now + retryAfter));
        }
        assertFalse(schedule.redeem(42, now + retryAfter), "no more than the four RPCs redeem it");
    }

    /** Compares with a map of reservations on generated inputs; a full table may only make fewer reservations. */
    @Test void matchesMapBasedReferenceModel() {
        int redeemedCount = 0;
        for (int seed = 0; seed < 10; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RetryReservations reservations = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 64);
            RetryReservations.Schedule schedule = reservations.new Schedule(3);
            Map<Long, long[]> model = new HashMap<>(); // by client: due time, RPCs
            long now = 1_000_000 * MS;
            for (int i = 0; i < 20_000; i++) {
                now += random.nextLong(4 * MS);
                long clientKey = 1 + random.nextInt(100);
                long[] expected = model.get(clientKey);
                if (random.nextBoolean()) {
                    long retryAfter = schedule.reserve(clientKey, now, random.nextLong(400 * MS), 500);
                    if (retryAfter > 0 && expected != null && expected[0] > now && expected[1] > 0) {
                        assertEquals(expected[0] - now, retryAfter, "an existing reservation stays");
                        assertTrue(++expected[1] <= 4);
                    } else if (retryAfter > 0) {
                        model.put(clientKey, new long[] {now + retryAfter, 1});
                    }
                } else {
                    boolean due = expected != null && expected[1] > 0 && expected[0] <= now
                            && now <= expected[0] + 200 * MS;
                    boolean redeemed = schedule.redeem(clientKey, now);
                    assertTrue(!redeemed || due, "redeemed without a reservation");
                    assertTrue(redeemed || !due, "a reservation was not redeemed at its time");
                    if (redeemed) {
                        expected[1]--;
                        redeemedCount++;
                    }
                }
            }
        }
        assertTrue(redeemedCount > 5000, "reservations redeemed: " + redeemedCount);
    }
}
