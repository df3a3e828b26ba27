package reedquay.members;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import reedquay.core.ListedMember.ListKind;
import reedquay.core.ListedMember.Phase;
import reedquay.members.MembershipReconciler.Entry;
import reedquay.members.MembershipReconciler.ListUpdate;
import reedquay.members.MembershipReconciler.State;
import reedquay.members.MembershipReconciler.Watch;

/** Tests single cases, and each order in which two or three agents can report a short history of changes. */
class MembershipReconcilerTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long HEARTBEAT_NANOS = 2000 * NANOS_PER_MS;

    /** A reconciler, a record of its actions, and the member list as a Router would hold it. */
    private static class RecordingFront implements MembershipReconciler.Actions {
        final MembershipReconciler reconciler = new MembershipReconciler(HEARTBEAT_NANOS, this);
        final List<Watch> opened = new ArrayList<>();
        final List<Watch> closed = new ArrayList<>();
        final Map<String, Entry> applied = new HashMap<>();
        final Map<String, Integer> counters = new HashMap<>();
        long now = 1000 * NANOS_PER_MS;
        long reopenAt = -1;

        /** Advances the time and returns the reconciler for the next input. */
        MembershipReconciler after(long millis) {
            now += millis * NANOS_PER_MS;
            reconciler.beginBatch(now);
            return reconciler;
        }

        /** Moves to an address and connects the watch on it. */
        Watch watch(String address) {
            after(1).moveTo(address);
            Watch watch = opened.get(opened.size() - 1);
            after(1).connected(watch);
            return watch;
        }

        /** The phase in force, which must be the one that the front was given too; null for an unknown member. */
        Phase phaseOf(String id) {
            assertEquals(reconciler.phases().get(id), applied.containsKey(id) ? applied.get(id).phase() : null, id);
            return reconciler.phases().get(id);
        }

        @Override public void openWatch(Watch watch) {
            opened.add(watch);
        }

        @Override public void closeWatch(Watch watch) {
            assertFalse(closed.contains(watch), "a watch is closed once");
            closed.add(watch);
        }

        @Override public void scheduleReopen(long delay) {
            reopenAt = now + delay;
        }

        @Override public void updateMembers(ListKind kind, List<Entry> entries) {
            if (kind != ListKind.CHANGES) {
                applied.clear();
            }
            for (Entry entry : entries) {
                if (entry.phase() == Phase.GONE) {
                    applied.remove(entry.id());
                } else {
                    applied.put(entry.id(), entry);
                }
            }
        }

        @Override public void incrementCounter(String name) {
            counters.merge(name, 1, Integer::sum);
        }

        @Override public void log(String message) { }
    }

    private static Entry up(String id, long startedAt) {
        return new Entry(id, Phase.UP, startedAt, null);
    }

    private static Entry draining(String id, long startedAt) {
        return new Entry(id, Phase.DRAINING, startedAt, null);
    }

    private static ListUpdate full(long generation, Entry... entries) {
        return new ListUpdate(generation, true, List.of(entries));
    }

    private static ListUpdate changes(long generation, Entry... entries) {
        return new ListUpdate(generation, false, List.of(entries));
    }

    // ---- Single cases ----

    /**
     * Prevents new call-outs to a member that has drained for longer than the grace (rule 3). A drain binds the gateway
     * as soon as the agent on its machine knows of it; with longer delays between attempts to connect, the grace could
     * pass while the gateway is not watching the agent.
     */
    @Test void reopenDelayIsAtMostHalfTheDrainGrace() {
        List<Long> delays = new ArrayList<>();
        RecordingFront front = new RecordingFront() {
            @Override public void scheduleReopen(long delay) {
                delays.add(delay);
            }
        };
        MembershipReconciler reconciler = new MembershipReconciler(HEARTBEAT_NANOS, 500 * NANOS_PER_MS, front);
        reconciler.beginBatch(1);
        reconciler.moveTo("late");
        for (int i = 0; i < 8; i++) {
            reconciler.failed(front.opened.get(i));
            reconciler.reopenTimerExpired();
        }
        assertEquals(8, delays.size());
        assertTrue(delays.stream().allMatch(delay -> delay <= 250 * NANOS_PER_MS), delays.toString());
    }

    /**
     * Prevents a drain from being missed, which happens when the old watch is closed on the first line of a new one
     * whose agent is behind.
     */
    @Test void supersededWatchStillCountsAfterTheNewWatchsFirstLine() {
        RecordingFront front = new RecordingFront();
        Watch old = front.watch("a");
        front.after(1).updateReceived(old, full(5, up("m", 1), up("n", 1)));
        Watch next = front.watch("b");
        front.after(1).heartbeatReceived(next);
        front.after(1).updateReceived(next, changes(4));
        assertTrue(old.isOpen(), "the first line of a new watch does not close the old one");
        front.after(1).updateReceived(old, changes(6, draining("m", 1)));
        assertEquals(Phase.DRAINING, front.phaseOf("m"));
    }

    /**
     * Prevents a drain from being undone, which happens when the full list of an agent that is behind replaces a newer
     * list.
     */
    @Test void fullListOfAnOlderGenerationUndoesNoDrain() {
        RecordingFront front = new RecordingFront();
        Watch old = front.watch("a");
        front.after(1).updateReceived(old, full(5, up("m", 1), up("n", 1)));
        front.after(1).updateReceived(old, changes(6, draining("m", 1)));
        Watch next = front.watch("b");
        front.after(1).updateReceived(next, full(4, up("m", 1), up("n", 1)));
        assertEquals(Phase.DRAINING, front.phaseOf("m"));
        front.after(1).updateReceived(next, changes(5));
        assertEquals(6, front.reconciler.generation(), "generations do not go back");
        front.after(1).updateReceived(next, changes(7, draining("n", 1)));
        assertEquals(Phase.DRAINING, front.phaseOf("n"), "an update of a higher generation is applied");
    }

    @Test void onlyALaterGenerationOrANewerProcessUndoesADrain() {
        RecordingFront front = new RecordingFront();
        Watch ahead = front.watch("a");
        front.after(1).updateReceived(ahead, full(5, draining("m", 10), draining("n", 10), draining("o", 10)));
        Watch behind = front.watch("b");
        front.after(1).updateReceived(behind, full(4, up("m", 10), up("n", 11), up("o", 9)));
        assertEquals(Phase.DRAINING, front.phaseOf("m"));
        assertEquals(Phase.UP, front.phaseOf("n"), "a newer process does not inherit the drain");
        assertEquals(Phase.DRAINING, front.phaseOf("o"));
        front.after(1).updateReceived(ahead, changes(6, up("m", 10)));
        assertEquals(Phase.UP, front.phaseOf("m"));
        front.after(1).updateReceived(ahead, full(6, draining("m", 10), up("n", 11)));
        front.after(1).updateReceived(behind, full(6, up("m", 10), up("n", 11)));
        assertEquals(Phase.DRAINING, front.phaseOf("m"), "within one generation the later phase stands");
    }

    /**
     * Prevents a drain from being missed, which happens when all updates of a lower generation are ignored: the watch
     * ahead has reported nothing of that member.
     */
    @Test void drainReportedOnlyByTheWatchBehindIsApplied() {
        RecordingFront front = new RecordingFront();
        Watch ahead = front.watch("a");
        front.after(1).updateReceived(ahead, full(2, up("m", 1), up("n", 1)));
        front.after(1).updateReceived(ahead, changes(9, draining("n", 1))); // does not name m
        Watch behind = front.watch("b");
        front.after(1).updateReceived(behind, changes(8, draining("m", 1)));
        assertEquals(Phase.DRAINING, front.phaseOf("m"));
    }

    /** Prevents call-outs to a member that is gone, which happen when an agent that is behind still lists it. */
    @Test void watchBehindDoesNotBringBackAMemberThatIsGone() {
        RecordingFront front = new RecordingFront();
        Watch ahead = front.watch("a");
        front.after(1).updateReceived(ahead, full(2, up("m", 1), up("n", 1)));
        front.after(1).updateReceived(ahead, changes(3, new Entry("m", Phase.GONE, 1, null)));
        Watch behind = front.watch("b");
        front.after(1).updateReceived(behind, full(2, up("m", 1), up("n", 1)));
        assertNull(front.phaseOf("m"));
        front.after(1).updateReceived(behind, changes(3, new Entry("m", Phase.GONE, 1, null)));
        front.after(1).updateReceived(behind, changes(4, up("m", 7)));
        assertEquals(Phase.UP, front.phaseOf("m"));
    }

    /**
     * Prevents a drain from being undone by a restart, which happens when the first list replaces a newer cached one.
     */
    @Test void cachedListOutlivesAnOlderFirstList() {
        RecordingFront front = new RecordingFront();
        front.after(1).restore(full(7, draining("m", 1), up("n", 1)));
        Watch watch = front.watch("a");
        assertEquals(7, front.reconciler.generation());
        front.after(1).updateReceived(watch, full(6, up("m", 1), up("n", 1)));
        assertTrue(front.reconciler.hasReceivedList());
        assertEquals(Phase.DRAINING, front.phaseOf("m"));
    }

    /**
     * Prevents the gateway from ignoring all lists after discovery has lost its state and counts generations from a low
     * number again. The evidence is one of these: the only open watch stays behind for as long as a watch may be
     * silent; one connection sends a full list of a lower generation than before; all listed processes are newer than
     * any in force.
     */
    @Test void generationsThatStartOverAreAcceptedOnEvidence() {
        RecordingFront front = new RecordingFront();
        Watch first = front.watch("a");
        front.after(1).updateReceived(first, full(50, draining("m", 10), up("n", 10), up("o", 10)));
        front.after(1).updateReceived(first, changes(51, new Entry("o", Phase.GONE, 10, null)));
        front.after(1).failed(first);
        front.after(100).reopenTimerExpired();
        Watch second = front.opened.get(1);
        front.after(1).connected(second);
        front.after(1).updateReceived(second, full(1, up("m", 10), up("n", 10), up("o", 10)));
        for (int i = 0; i < 3; i++) {
            assertEquals(51, front.reconciler.generation(), "the first lower generation is not evidence of a restart");
            front.after(2000).heartbeatReceived(second);
        }
        assertEquals(1, front.reconciler.generation(),
                "the only open watch has stayed behind for as long as a watch may be silent");
        assertEquals(Phase.DRAINING, front.phaseOf("m"), "a drain outlives the reset");
        assertNull(front.phaseOf("o"), "a departure outlives the reset");
        front.after(1).updateReceived(second, changes(2, up("m", 10), up("o", 10)));
        assertEquals(Phase.UP, front.phaseOf("m"), "a later update undoes the drain");
        assertEquals(Phase.UP, front.phaseOf("o"));
        front.after(1).updateReceived(second, full(0, up("p", 1)));
        assertEquals(0, front.reconciler.generation(),
                "on one connection a full list of a lower generation is evidence of a restart");
        front.after(1).failed(second);
        front.after(100).reopenTimerExpired();
        Watch third = front.opened.get(2);
        front.after(1).connected(third);
        front.after(1).updateReceived(third, full(9, up("q", 70)));
        front.after(1).failed(third);
        front.after(100).reopenTimerExpired();
        Watch fourth = front.opened.get(3);
        front.after(1).connected(fourth);
        front.after(1).updateReceived(fourth, full(3, up("r", 71), up("t", 72)));
        assertEquals(3, front.reconciler.generation(), "all processes are newer than any in force");
    }

    /** While another watch is open, a lower generation shows only that the agent of the new one is behind. */
    @Test void noResetWhileAnotherWatchIsOpen() {
        RecordingFront front = new RecordingFront();
        Watch old = front.watch("a");
        front.after(1).updateReceived(old, full(50, up("m", 10)));
        Watch next = front.watch("b");
        front.after(1).updateReceived(next, full(1, up("n", 20)));
        for (int i = 0; i < 5; i++) {
            front.after(2000).heartbeatReceived(old);
            front.reconciler.heartbeatReceived(next);
        }
        assertEquals(50, front.reconciler.generation());
        front.after(1).failed(old);
        front.after(1).heartbeatReceived(next);
        assertEquals(1, front.reconciler.generation());
    }

    @Test void openWatchesAreBoundedAndAReturnReusesAnOpenOne() {
        RecordingFront front = new RecordingFront();
        Watch first = front.watch("a");
        front.after(1).updateReceived(first, full(1, up("m", 1)));
        front.after(1).moveTo("b"); // move while the watch on b is connecting, and back
        front.after(1).moveTo("a");
        assertEquals(2, front.opened.size(), "the watch on a is still open and is reused");
        assertEquals(List.of(front.opened.get(1)), front.closed,
                "the watch on b never connected and is closed at once");
        for (int i = 0; i < 30; i++) {
            front.watch("x" + i);
        }
        assertTrue(front.reconciler.statusRows().size() <= 8, "open watches are bounded");
        assertEquals(front.opened.size(), front.closed.size() + front.reconciler.statusRows().size());
        assertEquals("asked", front.reconciler.statusRows().get(front.reconciler.statusRows().size() - 1)[1]);
    }

    @Test void silentOrFailedWatchIsReopenedAfterIncreasingDelays() {
        RecordingFront front = new RecordingFront();
        Watch first = front.watch("a");
        long previousDelay = 0;
        for (int i = 0; i < 8; i++) {
            front.after(1).failed(front.opened.get(front.opened.size() - 1));
            long delay = front.reopenAt - front.now;
            assertTrue(delay >= previousDelay && delay <= HEARTBEAT_NANOS && delay > 0,
                    "the delay grows up to one heartbeat interval");
            previousDelay = delay;
            front.after(delay / NANOS_PER_MS).reopenTimerExpired();
            assertEquals(i + 2, front.opened.size());
        }
        assertEquals(HEARTBEAT_NANOS, previousDelay);
        Watch last = front.opened.get(8);
        front.after(1).connected(last);
        front.after(1).heartbeatReceived(last);
        front.after(6000).closeSilentWatches();
        assertFalse(last.isOpen());
        assertEquals(HEARTBEAT_NANOS / 20, front.reopenAt - front.now, "a received line resets the delay");
        assertFalse(first.isOpen());
        front.after(1).close();
        front.after(1).reopenTimerExpired();
        assertEquals(9, front.opened.size(), "nothing is opened after close");
    }

    /**
     * Prevents a drain from being learnt later than 4 s after a move, which happens when the first watch of the new
     * agent stays silent, and the agent is asked again only once that watch has timed out.
     */
    @Test void agentIsAskedAgainBesideAWatchWithoutItsFirstAnswer() {
        RecordingFront front = new RecordingFront();
        Watch old = front.watch("a");
        front.after(1).updateReceived(old, full(5, up("m", 1)));
        Watch silent = front.watch("b");
        long movedAt = front.now;
        for (int i = 0; i < 40 && front.opened.size() < 4; i++) {
            front.after(100).closeSilentWatches();
        }
        assertTrue(front.now - movedAt < 2 * HEARTBEAT_NANOS, "asked again only after " + (front.now - movedAt));
        assertTrue(silent.isOpen(), "a slow agent may still answer the first request");
        Watch third = front.opened.get(3);
        front.after(1).connected(front.opened.get(2));
        front.after(1).connected(third);
        front.after(1).updateReceived(third, changes(6, draining("m", 1)));
        assertEquals(Phase.DRAINING, front.phaseOf("m"));
        assertFalse(silent.isOpen() || front.opened.get(2).isOpen(), "one watch of the agent is enough");
        assertTrue(old.isOpen(), "what the old agent has written counts");
        front.after(1500).heartbeatReceived(third);
        front.after(1500).closeSilentWatches();
        assertEquals(4, front.opened.size(), "an agent that has answered is not asked again");
    }

    /** Prevents that an agent that is slow to answer is never heard: no watch is given up for its first answer. */
    @Test void firstWatchOfASlowAgentIsUsedWhenItAnswers() {
        RecordingFront front = new RecordingFront();
        Watch first = front.watch("a");
        for (int i = 0; i < 35; i++) {
            front.after(100).closeSilentWatches();
        }
        assertTrue(front.opened.size() > 2);
        front.after(1).updateReceived(first, full(5, up("m", 1)));
        assertEquals(Phase.UP, front.phaseOf("m"));
        assertTrue(first.isOpen());
        assertEquals(front.opened.size() - 1, front.closed.size());
    }

    /** Prevents running out of descriptors by a silent agent, where many earlier agents keep their connections open. */
    @Test void silentAgentIsNotAskedAgainBesideManyOpenWatches() {
        RecordingFront front = new RecordingFront();
        for (String address : List.of("a", "b", "c", "d", "e", "f", "g")) {
            front.after(1).heartbeatReceived(front.watch(address));
        }
        front.watch("silent");
        int opened = front.opened.size();
        front.after(1500).closeSilentWatches();
        assertEquals(opened, front.opened.size());
    }

    /** Prevents a flood of watches on an agent that is down for long. */
    @Test void watchesOfASilentAgentAreFew() {
        RecordingFront front = new RecordingFront();
        front.watch("a");
        for (int i = 0; i < 600; i++) {
            int opened = front.opened.size();
            front.after(100).closeSilentWatches();
            if (front.reopenAt >= 0 && front.now >= front.reopenAt) {
                front.reopenAt = -1;
                front.after(0).reopenTimerExpired();
            }
            front.opened.subList(opened, front.opened.size()).forEach(watch -> front.after(0).connected(watch));
            assertTrue(front.opened.size() - front.closed.size() <= 3);
        }
        assertTrue(front.opened.size() < 25, front.opened.size() + " watches in a minute");
    }

    /** Operators read these names in the output of SHOW discovery. */
    @Test void shownStateNamesAreFixed() {
        assertEquals(List.of("connecting", "asked", "followed", "leaving", "ended"),
                Arrays.stream(State.values()).map(state -> state.shownAs).toList());
    }

    // ---- Every order ----

    /** The members m and n in each generation; only a new process ends a drain. */
    private record History(List<Map<String, Entry>> generations) {
        /**
         * The next update of an agent that has reported generation from and now has generation to. It names each member
         * that changed in between, or, with netChangesOnly, only those that differ at the end. A negative from stands
         * for nothing reported yet.
         */
        ListUpdate update(int from, int to, boolean full, boolean netChangesOnly) {
            List<Entry> entries = new ArrayList<>();
            for (String id : List.of("m", "n")) {
                Entry before = from < 0 ? null : generations.get(from).get(id);
                Entry after = generations.get(to).get(id);
                boolean changed = !Objects.equals(before, after);
                for (int generation = from + 1; !netChangesOnly && generation <= to && generation > 0; generation++) {
                    changed |= !Objects.equals(generations.get(generation - 1).get(id),
                            generations.get(generation).get(id));
                }
                if (after != null && (full || changed)) {
                    entries.add(after);
                } else if (after == null && !full && changed) {
                    entries.add(new Entry(id, Phase.GONE, before == null ? 0 : before.startedAt(), null));
                }
            }
            return new ListUpdate(to, full, entries);
        }
    }

    /** All histories of four generations in which each generation drains, ends or restarts one member. */
    private static List<History> histories() {
        List<History> histories = new ArrayList<>();
        extend(new ArrayList<>(List.of(Map.of("m", up("m", 1), "n", up("n", 1)))), histories);
        return histories;
    }

    /** Adds each history that starts with the given generations to the list. */
    private static void extend(List<Map<String, Entry>> prefix, List<History> histories) {
        if (prefix.size() == 4) {
            histories.add(new History(List.copyOf(prefix)));
            return;
        }
        Map<String, Entry> latest = prefix.get(prefix.size() - 1);
        for (String id : List.of("m", "n")) {
            Entry current = latest.get(id);
            List<Entry> next = new ArrayList<>();
            if (current == null) {
                next.add(up(id, 10 + prefix.size()));
            } else if (current.phase() == Phase.UP) {
                next.add(draining(id, current.startedAt()));
                next.add(null);
            } else {
                next.add(null);
                next.add(up(id, 10 + prefix.size()));
            }
            for (Entry entry : next) {
                Map<String, Entry> successor = new HashMap<>(latest);
                if (entry == null) {
                    successor.remove(id);
                } else {
                    successor.put(id, entry);
                }
                prefix.add(successor);
                extend(prefix, histories);
                prefix.remove(prefix.size() - 1);
            }
        }
    }

    /**
     * One event of a schedule. kind: W for an update, a full list if it is the watch's first; C for a first update with
     * changes; B for a heartbeat; E for the end of the connection; M for a move to a new address. watch: index of the
     * watch, in the order of opening. to: the generation that an update reaches.
     */
    private record Step(char kind, int watch, int to) { }

    /**
     * All schedules of one or two moves. Each agent answers with a full list or with changes, after any delay, in steps
     * of any size, with heartbeats in between; an old connection stays open, ends early, or ends after its last update.
     */
    @Test void newestGenerationIsInForceAfterEveryScheduleOfUpdates() {
        long ofTwo = histories().parallelStream().mapToLong(history -> countSchedules(history, 2)).sum();
        long ofThree = histories().parallelStream().mapToLong(history -> countSchedules(history, 3)).sum();
        System.out.println("membership: " + ofTwo + " schedules of two watches and " + ofThree + " of three passed");
        assertTrue(ofTwo == 585_488 && ofThree > 100_000,
                "schedules of two watches: " + ofTwo + ", of three: " + ofThree);
    }

    /** Replays every schedule of a history, checks each, and returns their number. */
    private long countSchedules(History history, int maxWatches) {
        long count = 0;
        ArrayDeque<List<Step>> pending = new ArrayDeque<>();
        pending.add(List.of());
        while (!pending.isEmpty()) {
            List<Step> path = pending.pollLast();
            List<Step> next = replay(history, maxWatches, path);
            if (next.isEmpty()) {
                count++;
            }
            for (Step step : next) {
                List<Step> longer = new ArrayList<>(path);
                longer.add(step);
                pending.add(longer);
            }
        }
        return count;
    }

    /** Replays a path from the start, checks after each step, and returns the steps that may come next. */
    private List<Step> replay(History history, int maxWatches, List<Step> path) {
        RecordingFront front = new RecordingFront();
        List<Watch> watches = new ArrayList<>();
        int[] reported = new int[maxWatches];
        boolean[] ended = new boolean[maxWatches];
        boolean[] startedWithFullList = new boolean[maxWatches]; // its first update was a full list
        Arrays.fill(reported, -1);
        watches.add(front.watch("0"));
        int heartbeats = 0;
        int newest = -1;
        for (Step step : path) {
            Watch watch = step.watch < watches.size() ? watches.get(step.watch) : null;
            switch (step.kind) {
                case 'W', 'C' -> { // full list or changes
                    int from = reported[step.watch] >= 0 ? reported[step.watch] : step.kind == 'W' ? -1 : newest;
                    boolean full = reported[step.watch] < 0 && (step.kind == 'W' || from > step.to);
                    front.after(1).updateReceived(watch,
                            history.update(full ? -1 : from, step.to, full, startedWithFullList[step.watch]));
                    startedWithFullList[step.watch] |= full;
                    reported[step.watch] = step.to;
                    newest = Math.max(newest, step.to);
                }
                case 'B' -> {
                    front.after(1).heartbeatReceived(watch);
                    heartbeats++;
                }
                case 'E' -> {
                    front.after(1).failed(watch);
                    ended[step.watch] = true;
                }
                default -> watches.add(front.watch("" + step.to));
            }
            checkPhases(history, front, newest, path);
        }
        return nextSteps(watches, reported, ended, heartbeats, maxWatches);
    }

    /**
     * The steps that may come next. With three watches, all but the first report only the last generation, which keeps
     * the number of schedules small.
     */
    private static List<Step> nextSteps(List<Watch> watches, int[] reported, boolean[] ended, int heartbeats,
            int maxWatches) {
        List<Step> next = new ArrayList<>();
        int last = watches.size() - 1;
        for (int index = 0; index <= last; index++) {
            if (ended[index] || reported[index] == 3) {
                continue;
            }
            for (int to = reported[index] + 1; to < 4; to++) {
                if (index == 0 || to == 3 || to >= reported[index] + 1 && maxWatches == 2) {
                    next.add(new Step('W', index, to));
                    if (reported[index] < 0 && index > 0) {
                        next.add(new Step('C', index, to));
                    }
                }
            }
            if (heartbeats < 1 && index == last && index > 0) {
                next.add(new Step('B', index, 0));
            }
            if (index < last) {
                next.add(new Step('E', index, 0));
            }
        }
        if (watches.size() < maxWatches && reported[last] >= 0) {
            next.add(new Step('M', watches.size(), watches.size()));
        }
        return next;
    }

    /** What is in force must be the history at the newest generation that any agent has reported. */
    private static void checkPhases(History history, RecordingFront front, int newest, List<Step> path) {
        if (newest < 0) {
            return;
        }
        for (String id : List.of("m", "n")) {
            Entry expected = history.generations.get(newest).get(id);
            assertEquals(expected == null ? null : expected.phase(), front.phaseOf(id),
                    () -> id + " after " + path + " in " + history);
        }
    }
}
