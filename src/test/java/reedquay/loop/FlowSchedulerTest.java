package reedquay.loop;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FlowSchedulerTest {
    private static final long QUANTUM = 100;
    private static final long TURN = 1_000;

    /** The plain model: two lists of names that are searched anew for each question. */
    private static final class Model {
        final List<Integer> fresh = new ArrayList<>();
        final List<Integer> old = new ArrayList<>();
        final Map<Integer, Long> deficits = new HashMap<>();
        final List<Integer> working = new ArrayList<>();
        long used;

        void activate(int flow) {
            if (!fresh.contains(flow) && !old.contains(flow)) {
                fresh.add(flow);
                deficits.put(flow, QUANTUM);
            }
            if (!working.contains(flow)) {
                working.add(flow);
            }
        }

        Integer next() {
            while (used < TURN && !working.isEmpty()) {
                List<Integer> list = fresh.isEmpty() ? old : fresh;
                Integer first = list.get(0);
                if (!working.contains(first)) {
                    list.remove(first);
                } else if (deficits.get(first) > 0) {
                    return first;
                } else {
                    deficits.merge(first, QUANTUM, Long::sum);
                    list.remove(first);
                    old.add(first);
                }
            }
            return null;
        }

        void served(Integer flow, long nanos, boolean hasWork) {
            used += nanos;
            deficits.put(flow, Math.max(deficits.get(flow) - nanos, -2 * QUANTUM));
            if (!hasWork) {
                working.remove(flow);
                if (fresh.remove(flow)) {
                    old.add(flow);
                }
            }
        }

        void remove(Integer flow) {
            fresh.remove(flow);
            old.remove(flow);
            working.remove(flow);
        }
    }

    @Test void servesAsThePlainModelDoes() {
        SplittableRandom random = new SplittableRandom(48);
        FlowScheduler<Integer> scheduler = new FlowScheduler<>(QUANTUM, TURN);
        Model model = new Model();
        int served = 0;
        for (int step = 0; step < 200_000; step++) {
            Integer flow = random.nextInt(12);
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> {
                    scheduler.activate(flow);
                    model.activate(flow);
                }
                case 3 -> {
                    scheduler.beginTurn();
                    model.used = 0;
                }
                case 4 -> {
                    if (random.nextInt(10) == 0) {
                        scheduler.remove(flow);
                        model.remove(flow);
                    }
                }
                default -> {
                    Integer next = scheduler.next();
                    assertEquals(model.next(), next);
                    if (next != null) {
                        assertEquals(model.deficits.get(next), scheduler.allowance(next));
                        long nanos = random.nextInt(10) == 0 ? random.nextInt(2_000) : random.nextInt(150);
                        boolean hasWork = random.nextInt(4) > 0;
                        scheduler.served(next, nanos, hasWork);
                        model.served(next, nanos, hasWork);
                        served++;
                    }
                }
            }
            assertEquals(!model.working.isEmpty(), scheduler.hasWork());
        }
        assertTrue(served > 20_000, "only " + served + " services were compared");
    }

    /** Prevents long waits of a client that asks little, behind hundreds that always want more. */
    @Test void flowThatNeedsLessThanItsShareIsServedFirst() {
        FlowScheduler<Integer> scheduler = new FlowScheduler<>(QUANTUM, TURN);
        for (int greedy = 1; greedy <= 300; greedy++) {
            scheduler.activate(greedy);
        }
        for (int turn = 0; turn < 100; turn++) {
            scheduler.beginTurn();
            for (Integer flow = scheduler.next(); flow != null; flow = scheduler.next()) {
                scheduler.served(flow, QUANTUM, true);
            }
        }
        for (int turn = 0; turn < 100; turn++) {
            scheduler.activate(0);
            scheduler.beginTurn();
            assertEquals(0, scheduler.next());
            scheduler.served(0, QUANTUM / 10, false);
            long[] used = new long[301];
            for (int i = 0; i < 40; i++) { // four turns of the others, in which a round of all does not end
                scheduler.beginTurn();
                Integer flow = scheduler.next();
                used[flow] += QUANTUM;
                scheduler.served(flow, QUANTUM, true);
                assertTrue(used[flow] <= 2 * QUANTUM, "one of the others is served twice in a round");
            }
            for (int i = 0; i < 300; i++) { // the rest of the round, after which flow 0 counts as new again
                scheduler.beginTurn();
                scheduler.served(scheduler.next(), QUANTUM, true);
            }
        }
    }

    /** Prevents waits of seconds for a client during whose service the loop's thread was held up, behind hundreds. */
    @Test void flowWhoseServiceWasHeldUpWaitsForFourRoundsAtMost() {
        FlowScheduler<Integer> scheduler = new FlowScheduler<>(QUANTUM, TURN);
        scheduler.activate(0);
        scheduler.beginTurn();
        scheduler.next();
        scheduler.served(0, 1_000 * QUANTUM, false);
        for (int greedy = 1; greedy <= 300; greedy++) {
            scheduler.activate(greedy);
        }
        scheduler.activate(0);
        int servicesOfOthers = 0;
        scheduler.beginTurn();
        for (Integer flow = scheduler.next(); flow != 0; flow = scheduler.next()) {
            scheduler.served(flow, QUANTUM, true);
            servicesOfOthers++;
            scheduler.beginTurn();
        }
        // the round that it came in, two for its debt, and one in which it has a quantum again
        assertTrue(servicesOfOthers <= 4 * 300, servicesOfOthers + " services of others came first");
    }

    /** Prevents that a flow gains by work that takes longer than a quantum. */
    @Test void flowsGetTheSameTimeHoweverLongTheirPiecesAre() {
        FlowScheduler<Integer> scheduler = new FlowScheduler<>(QUANTUM, TURN);
        long[] used = new long[3];
        long[] pieces = {7, 90, 200};
        for (int flow = 0; flow < used.length; flow++) {
            scheduler.activate(flow);
        }
        for (int turn = 0; turn < 3_000; turn++) {
            scheduler.beginTurn();
            for (Integer flow = scheduler.next(); flow != null; flow = scheduler.next()) {
                used[flow] += pieces[flow];
                scheduler.served(flow, pieces[flow], true);
            }
        }
        for (long time : used) {
            assertEquals((double) used[0], time, pieces[2] + 2 * QUANTUM);
        }
    }
}
