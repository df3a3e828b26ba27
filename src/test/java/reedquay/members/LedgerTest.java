package reedquay.members;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import reedquay.core.ListedMember.ListKind;
import reedquay.core.ListedMember.Phase;
import reedquay.members.Ledger.Entry;
import reedquay.members.Ledger.Source;
import reedquay.members.Ledger.Told;

/** The ledger on cases by hand, and on every order in which two or three sources can tell a short history. */
class LedgerTest {
    private static final long MS = 1_000_000;
    private static final long BEAT = 2000 * MS;

    /** A ledger with its record of effects and a plain list as a Router would keep it. */
    private static class Desk implements Ledger.Effects {
        final Ledger ledger = new Ledger(BEAT, this);
        final List<Source> opened = new ArrayList<>();
        final List<Source> closed = new ArrayList<>();
        final Map<String, Entry> listed = new HashMap<>();
        final Map<String, Integer> counts = new HashMap<>();
        long now = 1000 * MS;
        long openAt = -1;

        Ledger at(long millis) {
            now += millis * MS;
            ledger.begin(now);
            return ledger;
        }

        /** Moves to an address and has its connection come up. */
        Source source(String address) {
            at(1).moveTo(address);
            Source made = opened.get(opened.size() - 1);
            at(1).up(made);
            return made;
        }

        Phase phase(String id) {
            assertEquals(ledger.phases().get(id), listed.containsKey(id) ? listed.get(id).phase() : null, id);
            return ledger.phases().get(id);
        }

        @Override public void open(Source source) {
            opened.add(source);
        }

        @Override public void close(Source source) {
            assertFalse(closed.contains(source), "closed once");
            closed.add(source);
        }

        @Override public void openIn(long wait) {
            openAt = now + wait;
        }

        @Override public void inForce(ListKind kind, List<Entry> entries) {
            if (kind != ListKind.CHANGES) {
                listed.clear();
            }
            for (Entry e : entries) {
                if (e.phase() == Phase.GONE) {
                    listed.remove(e.id());
                } else {
                    listed.put(e.id(), e);
                }
            }
        }

        @Override public void count(String what) {
            counts.merge(what, 1, Integer::sum);
        }

        @Override public void log(String line) { }
    }

    private static Entry up(String id, long started) {
        return new Entry(id, Phase.UP, started, null);
    }

    private static Entry draining(String id, long started) {
        return new Entry(id, Phase.DRAINING, started, null);
    }

    private static Told full(long generation, Entry... entries) {
        return new Told(generation, true, List.of(entries));
    }

    private static Told changes(long generation, Entry... entries) {
        return new Told(generation, false, List.of(entries));
    }

    // ---- By hand ----

    /** Guards against a drain that a source holds, and so counts as told, while nobody asks the source for it. */
    @Test void aSourceThatRefusesIsAskedAgainWellWithinTheGraceOfADrain() {
        List<Long> waits = new ArrayList<>();
        Desk desk = new Desk() {
            @Override public void openIn(long wait) {
                waits.add(wait);
            }
        };
        Ledger ledger = new Ledger(BEAT, 500 * MS, desk);
        ledger.begin(1);
        ledger.moveTo("late");
        for (int i = 0; i < 8; i++) {
            ledger.broken(desk.opened.get(i));
            ledger.wake();
        }
        assertEquals(8, waits.size());
        assertTrue(waits.stream().allMatch(w -> w <= 250 * MS), waits.toString());
    }

    @Test void whatTheOldSourceStillTellsCountsAfterTheNewOnesFirstWord() {
        Desk d = new Desk();
        Source old = d.source("a");
        d.at(1).told(old, full(5, up("m", 1), up("n", 1)));
        Source next = d.source("b");
        d.at(1).beat(next);
        d.at(1).told(next, changes(4));
        assertTrue(old.wanted(), "the first word of a new source ends nothing");
        d.at(1).told(old, changes(6, draining("m", 1)));
        assertEquals(Phase.DRAINING, d.phase("m"));
    }

    @Test void aWholeListThatIsBehindUndoesNoDrain() {
        Desk d = new Desk();
        Source old = d.source("a");
        d.at(1).told(old, full(5, up("m", 1), up("n", 1)));
        d.at(1).told(old, changes(6, draining("m", 1)));
        Source next = d.source("b");
        d.at(1).told(next, full(4, up("m", 1), up("n", 1)));
        assertEquals(Phase.DRAINING, d.phase("m"));
        d.at(1).told(next, changes(5));
        assertEquals(6, d.ledger.since(), "generations do not go back");
        d.at(1).told(next, changes(7, draining("n", 1)));
        assertEquals(Phase.DRAINING, d.phase("n"), "where it is further on it is believed");
    }

    @Test void aDrainIsUndoneByALaterGenerationOrANewerProcessAlone() {
        Desk d = new Desk();
        Source s = d.source("a");
        d.at(1).told(s, full(5, draining("m", 10), draining("n", 10), draining("o", 10)));
        Source behind = d.source("b");
        d.at(1).told(behind, full(4, up("m", 10), up("n", 11), up("o", 9)));
        assertEquals(Phase.DRAINING, d.phase("m"));
        assertEquals(Phase.UP, d.phase("n"), "a newer process is another");
        assertEquals(Phase.DRAINING, d.phase("o"));
        d.at(1).told(s, changes(6, up("m", 10)));
        assertEquals(Phase.UP, d.phase("m"));
        d.at(1).told(s, full(6, draining("m", 10), up("n", 11)));
        d.at(1).told(behind, full(6, up("m", 10), up("n", 11)));
        assertEquals(Phase.DRAINING, d.phase("m"), "of one generation the stronger word stands");
    }

    @Test void aDrainThatOnlyTheSourceBehindHasTold() {
        Desk d = new Desk();
        Source s = d.source("a");
        d.at(1).told(s, full(2, up("m", 1), up("n", 1)));
        d.at(1).told(s, changes(9, draining("n", 1))); // names n alone
        Source behind = d.source("b");
        d.at(1).told(behind, changes(8, draining("m", 1)));
        assertEquals(Phase.DRAINING, d.phase("m"));
    }

    @Test void whatIsGoneStaysGoneWhateverTheSourceBehindSays() {
        Desk d = new Desk();
        Source s = d.source("a");
        d.at(1).told(s, full(2, up("m", 1), up("n", 1)));
        d.at(1).told(s, changes(3, new Entry("m", Phase.GONE, 1, null)));
        Source behind = d.source("b");
        d.at(1).told(behind, full(2, up("m", 1), up("n", 1)));
        assertNull(d.phase("m"));
        d.at(1).told(behind, changes(3, new Entry("m", Phase.GONE, 1, null)));
        d.at(1).told(behind, changes(4, up("m", 7)));
        assertEquals(Phase.UP, d.phase("m"));
    }

    @Test void aRememberedListThatIsNewerThanTheFirstOneToldStands() {
        Desk d = new Desk();
        d.at(1).remembered(full(7, draining("m", 1), up("n", 1)));
        Source s = d.source("a");
        assertEquals(7, d.ledger.since());
        d.at(1).told(s, full(6, up("m", 1), up("n", 1)));
        assertTrue(d.ledger.heard());
        assertEquals(Phase.DRAINING, d.phase("m"));
    }

    @Test void numbersThatAreSetBackForGoodAreTakenByTheirSigns() {
        Desk d = new Desk();
        Source s = d.source("a");
        d.at(1).told(s, full(50, draining("m", 10), up("n", 10), up("o", 10)));
        d.at(1).told(s, changes(51, new Entry("o", Phase.GONE, 10, null)));
        d.at(1).broken(s);
        d.at(100).wake();
        Source again = d.opened.get(1);
        d.at(1).up(again);
        d.at(1).told(again, full(1, up("m", 10), up("n", 10), up("o", 10)));
        for (int i = 0; i < 3; i++) {
            assertEquals(51, d.ledger.since(), "its first word is no sign");
            d.at(2000).beat(again);
        }
        assertEquals(1, d.ledger.since(), "it has stayed behind, alone, for as long as a source may be silent");
        assertEquals(Phase.DRAINING, d.phase("m"), "a drain outlives it");
        assertNull(d.phase("o"), "as does an end");
        d.at(1).told(again, changes(2, up("m", 10), up("o", 10)));
        assertEquals(Phase.UP, d.phase("m"), "what comes later undoes it");
        assertEquals(Phase.UP, d.phase("o"));
        d.at(1).told(again, full(0, up("p", 1)));
        assertEquals(0, d.ledger.since(), "on one connection a whole list that goes back is a sign");
        d.at(1).broken(again);
        d.at(100).wake();
        Source third = d.opened.get(2);
        d.at(1).up(third);
        d.at(1).told(third, full(9, up("q", 70)));
        d.at(1).broken(third);
        d.at(100).wake();
        Source fourth = d.opened.get(3);
        d.at(1).up(fourth);
        d.at(1).told(fourth, full(3, up("r", 71), up("t", 72)));
        assertEquals(3, d.ledger.since(), "all processes are younger than any in force");
    }

    @Test void whileAnotherSourceLivesNothingStartsAnew() {
        Desk d = new Desk();
        Source old = d.source("a");
        d.at(1).told(old, full(50, up("m", 10)));
        Source next = d.source("b");
        d.at(1).told(next, full(1, up("n", 20)));
        for (int i = 0; i < 5; i++) {
            d.at(2000).beat(old);
            d.ledger.beat(next);
        }
        assertEquals(50, d.ledger.since());
        d.at(1).broken(old);
        d.at(1).beat(next);
        assertEquals(1, d.ledger.since());
    }

    @Test void movesLeaveAtMostAFewSourcesAndComeBackToOneThatLives() {
        Desk d = new Desk();
        Source a = d.source("a");
        d.at(1).told(a, full(1, up("m", 1)));
        d.at(1).moveTo("b"); // a move while b's watch is opening, and back
        d.at(1).moveTo("a");
        assertEquals(2, d.opened.size(), "a still lives: it is not opened again");
        assertEquals(List.of(d.opened.get(1)), d.closed, "b has never come up and has told nothing");
        for (int i = 0; i < 30; i++) {
            d.source("x" + i);
        }
        assertTrue(d.ledger.rows().size() <= 8, "sources are bounded");
        assertEquals(d.opened.size(), d.closed.size() + d.ledger.rows().size());
        assertEquals("asked", d.ledger.rows().get(d.ledger.rows().size() - 1)[1]);
    }

    @Test void aSilentOrDeadSourceIsOpenedAgainAfterGrowingWaits() {
        Desk d = new Desk();
        Source a = d.source("a");
        long last = 0;
        for (int i = 0; i < 8; i++) {
            d.at(1).broken(d.opened.get(d.opened.size() - 1));
            long wait = d.openAt - d.now;
            assertTrue(wait >= last && wait <= BEAT && wait > 0, "grows up to a beat");
            last = wait;
            d.at(wait / MS).wake();
            assertEquals(i + 2, d.opened.size());
        }
        assertEquals(BEAT, last);
        Source s = d.opened.get(8);
        d.at(1).up(s);
        d.at(1).beat(s);
        d.at(6000).sweep();
        assertFalse(s.wanted());
        assertEquals(BEAT / 20, d.openAt - d.now, "something could be read: the wait is short again");
        assertFalse(a.wanted());
        d.at(1).close();
        d.at(1).wake();
        assertEquals(9, d.opened.size(), "nothing is opened after the end");
    }

    // ---- Every order ----

    /** A true history of two members: what each generation has of them; a drain is undone by a new process alone. */
    private record World(List<Map<String, Entry>> at) {
        /**
         * What a source that has told up to from says next when it has got up to to: each entry that changed, or,
         * net, only those that are other than they were.
         */
        Told between(int from, int to, boolean whole, boolean net) {
            List<Entry> out = new ArrayList<>();
            for (String id : List.of("m", "n")) {
                Entry then = from < 0 ? null : at.get(from).get(id);
                Entry now = at.get(to).get(id);
                boolean changed = !java.util.Objects.equals(then, now);
                for (int g = from + 1; !net && g <= to && g > 0; g++) {
                    changed |= !java.util.Objects.equals(at.get(g - 1).get(id), at.get(g).get(id));
                }
                if (now != null && (whole || changed)) {
                    out.add(now);
                } else if (now == null && !whole && changed) {
                    out.add(new Entry(id, Phase.GONE, then == null ? 0 : then.startedAt(), null));
                }
            }
            return new Told(to, whole, out);
        }
    }

    /** All histories of four generations in which each step changes one member: drain, end, come again. */
    private static List<World> worlds() {
        List<World> all = new ArrayList<>();
        grow(new ArrayList<>(List.of(Map.of("m", up("m", 1), "n", up("n", 1)))), all);
        return all;
    }

    private static void grow(List<Map<String, Entry>> so, List<World> all) {
        if (so.size() == 4) {
            all.add(new World(List.copyOf(so)));
            return;
        }
        Map<String, Entry> last = so.get(so.size() - 1);
        for (String id : List.of("m", "n")) {
            Entry now = last.get(id);
            List<Entry> next = new ArrayList<>();
            if (now == null) {
                next.add(up(id, 10 + so.size()));
            } else if (now.phase() == Phase.UP) {
                next.add(draining(id, now.startedAt()));
                next.add(null);
            } else {
                next.add(null);
                next.add(up(id, 10 + so.size()));
            }
            for (Entry entry : next) {
                Map<String, Entry> then = new HashMap<>(last);
                if (entry == null) {
                    then.remove(id);
                } else {
                    then.put(id, entry);
                }
                so.add(then);
                grow(so, all);
                so.remove(so.size() - 1);
            }
        }
    }

    /** What may happen next: a source gets further, says an empty line, ends; or the address moves. */
    private record Act(char kind, int source, int to) { }

    /**
     * All schedules: one or two moves; each source answers with the whole list or with changes, as late as it likes,
     * in steps of any size, with empty lines; an old one lives on, ends early, or ends after its last word.
     */
    @Test void inEveryOrderADrainHoldsAndTheNewestListIsInForce() {
        long schedules = worlds().parallelStream().mapToLong(w -> explore(w, 2)).sum();
        long of3 = worlds().parallelStream().mapToLong(w -> explore(w, 3)).sum();
        System.out.println("ledger: " + schedules + " schedules of two sources, " + of3 + " of three, all kept");
        assertTrue(schedules == 585_488 && of3 > 100_000, schedules + " " + of3);
    }

    private long explore(World world, int sources) {
        long count = 0;
        ArrayDeque<List<Act>> open = new ArrayDeque<>();
        open.add(List.of());
        while (!open.isEmpty()) {
            List<Act> path = open.pollLast();
            List<Act> next = play(world, sources, path);
            if (next.isEmpty()) {
                count++;
            }
            for (Act act : next) {
                List<Act> longer = new ArrayList<>(path);
                longer.add(act);
                open.add(longer);
            }
        }
        return count;
    }

    /** Plays a path from the start, with all checks at its last step; what may come next. */
    private List<Act> play(World world, int sources, List<Act> path) {
        Desk d = new Desk();
        List<Source> made = new ArrayList<>();
        int[] told = new int[sources];
        boolean[] ended = new boolean[sources];
        boolean[] wholeFirst = new boolean[sources]; // its first answer was the whole list
        java.util.Arrays.fill(told, -1);
        made.add(d.source("0"));
        int beats = 0;
        int newest = -1;
        for (Act act : path) {
            Source s = act.source < made.size() ? made.get(act.source) : null;
            switch (act.kind) {
                case 'W', 'C' -> { // whole, or changes
                    int from = told[act.source] >= 0 ? told[act.source] : act.kind == 'W' ? -1 : newest;
                    boolean whole = told[act.source] < 0 && (act.kind == 'W' || from > act.to);
                    d.at(1).told(s, world.between(whole ? -1 : from, act.to, whole, wholeFirst[act.source]));
                    wholeFirst[act.source] |= whole;
                    told[act.source] = act.to;
                    newest = Math.max(newest, act.to);
                }
                case 'B' -> {
                    d.at(1).beat(s);
                    beats++;
                }
                case 'E' -> {
                    d.at(1).broken(s);
                    ended[act.source] = true;
                }
                default -> made.add(d.source("" + act.to));
            }
            check(world, d, newest, path);
        }
        return next(made, told, ended, beats, sources);
    }

    private static List<Act> next(List<Source> made, int[] told, boolean[] ended, int beats, int sources) {
        List<Act> next = new ArrayList<>();
        int last = made.size() - 1;
        for (int i = 0; i <= last; i++) {
            if (ended[i] || told[i] == 3) {
                continue;
            }
            for (int to = told[i] + 1; to < 4; to++) {
                if (i == 0 || to == 3 || to >= told[i] + 1 && sources == 2) {
                    next.add(new Act('W', i, to));
                    if (told[i] < 0 && i > 0) {
                        next.add(new Act('C', i, to));
                    }
                }
            }
            if (beats < 1 && i == last && i > 0) {
                next.add(new Act('B', i, 0));
            }
            if (i < last) {
                next.add(new Act('E', i, 0));
            }
        }
        if (made.size() < sources && told[last] >= 0) {
            next.add(new Act('M', made.size(), made.size()));
        }
        return next;
    }

    /** Against the true history alone: what is in force is what the newest generation told by anybody has. */
    private static void check(World world, Desk d, int newest, List<Act> path) {
        if (newest < 0) {
            return;
        }
        for (String id : List.of("m", "n")) {
            Entry truth = world.at.get(newest).get(id);
            assertEquals(truth == null ? null : truth.phase(), d.phase(id),
                    () -> id + " after " + path + " in " + world);
        }
    }
}
