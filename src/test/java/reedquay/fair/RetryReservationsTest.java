package reedquay.fair;

import static org.junit.jupiter.api.Assertions.*;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The calendar and its promises beside plain maps. */
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
            long retryAfter = schedule.reserve(i * 77L + 1, now, 0, 100); // 5 a step
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
        assertTrue(refused > 250, "what can't be kept is not told");
    }

    @Test void ratesBelowOnePerSlotUseOnlySomeSlots() {
        RetryReservations.Schedule schedule = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 1000).new Schedule(0);
        long now = 1_000_000 * MS;
        int reserved = 0;
        for (int i = 0; i < 100; i++) {
            reserved += schedule.reserve(i + 1, now, 0, 4) > 0 ? 1 : 0; // one in five steps
        }
        assertTrue(reserved >= 3 && reserved <= 5, "four a second: " + reserved);
    }

    @Test void reservationIsStableRedeemedOnceAndExpires() {
        RetryReservations reservations = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 100);
        RetryReservations.Schedule reads = reservations.new Schedule(0);
        RetryReservations.Schedule writes = reservations.new Schedule(1);
        long now = 1_000_000 * MS;
        long retryAfter = reads.reserve(42, now, 300 * MS, 1000);
        assertTrue(retryAfter >= 250 * MS, "no sooner than the wait, to a step: " + retryAfter);
        assertTrue(reads.isEarly(42, now + 100 * MS));
        assertEquals(retryAfter - 100 * MS, reads.reserve(42, now + 100 * MS, 900 * MS, 1000), "it stands as told");
        
        assertFalse(reads.redeem(42, now + 100 * MS), "too early gains nothing");
        assertFalse(writes.redeem(42, now + retryAfter), "another way");
        assertTrue(reads.redeem(42, now + retryAfter), "and loses nothing");
        assertTrue(reads.redeem(42, now + retryAfter), "it was told twice");
        assertFalse(reads.redeem(42, now + retryAfter), "kept once");
        retryAfter = reads.reserve(42, now, 300 * MS, 1000);
        assertEquals(0, reads.reserve(42, now + retryAfter + 100 * MS, 0, 1000), "who was told may still come");
        assertFalse(reads.redeem(42, now + retryAfter + 201 * MS), "too late");
    }

    @Test void redeemsEachReservedRpcAndNoMore() {
        RetryReservations.Schedule schedule = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 100).new Schedule(0);
        long now = 1_000_000 * MS;
        long retryAfter = schedule.reserve(42, now, 300 * MS, 1000);
        for (int i = 1; i < 4; i++) {
            assertEquals(retryAfter, schedule.reserve(42, now, 0, 1000), "a few of a client's, all at one time");
        }
        assertTrue(schedule.isEarly(42, now + 50 * MS), "one that comes too early loses nothing");
        assertEquals(0, schedule.reserve(42, now + 50 * MS, 0, 1000), "and no more are told");
        for (int i = 0; i < 4; i++) {
            assertTrue(schedule.redeem(42, now + retryAfter));
        }
        assertFalse(schedule.redeem(42, now + retryAfter), "and was told for no more than four");
    }

    /** What a plain map of promises says, on generated comings and goings; a full table only ever makes fewer. */
    @Test void matchesMapBasedReferenceModel() {
        int redeemedCount = 0;
        for (int seed = 0; seed < 10; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RetryReservations reservations = new RetryReservations(SLOT_WIDTH, MAX_RETRY_AFTER, 200 * MS, 64);
            RetryReservations.Schedule schedule = reservations.new Schedule(3);
            Map<Long, long[]> model = new HashMap<>(); // when, for how many
            long now = 1_000_000 * MS;
            for (int i = 0; i < 20_000; i++) {
                now += random.nextLong(4 * MS);
                long clientKey = 1 + random.nextInt(100);
                long[] expected = model.get(clientKey);
                if (random.nextBoolean()) {
                    long retryAfter = schedule.reserve(clientKey, now, random.nextLong(400 * MS), 500);
                    if (retryAfter > 0 && expected != null && expected[0] > now && expected[1] > 0) {
                        assertEquals(expected[0] - now, retryAfter, "it stands");
                        assertTrue(++expected[1] <= 4);
                    } else if (retryAfter > 0) {
                        model.put(clientKey, new long[] {now + retryAfter, 1});
                    }
                } else {
                    boolean due = expected != null && expected[1] > 0 && expected[0] <= now && now <= expected[0] + 200 * MS;
                    boolean redeemed = schedule.redeem(clientKey, now);
                    assertTrue(!redeemed || due, "nothing is kept that was not told");
                    assertTrue(redeemed || !due, "what was told is kept");
                    if (redeemed) {
                        expected[1]--;
                        redeemedCount++;
                    }
                }
            }
        }
        assertTrue(redeemedCount > 5000, "kept " + redeemedCount);
    }
}
