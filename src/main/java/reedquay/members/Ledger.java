package reedquay.members;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import reedquay.core.ListedMember.ListKind;
import reedquay.core.ListedMember.Phase;

/**
 * What the sources of the member list have told, which of it is in force, and which sources are read. It has no
 * connection, clock or thread: a front tells it what came and when, and carries out its Effects. Generations order
 * what is told across all sources. In this order: the table of a source's life, the state, the inputs, the list.
 */
public final class Ledger {
    /** What the ledger can bring about; carried out in the order of the calls. */
    public interface Effects {
        /** Opens a watch on the source's address that asks for what changed after since(). */
        void open(Source source);

        /** The source is not to be read any more. */
        void close(Source source);

        /** The front calls wake() after that time in nanoseconds. */
        void openIn(long wait);

        /** Entries in the order they were told, with what is in force of each member. */
        void inForce(ListKind kind, List<Entry> entries);

        /** A count of what was seen, by a name of its own. */
        void count(String what);

        void log(String line);
    }

    /** What a list says of one member; startedAt in nanoseconds, 0 for long ago; rest is the front's. */
    public record Entry(String id, Phase phase, long startedAt, Object rest) { }

    /** One list as it was told; generation is below zero where it names none. */
    public record Told(long generation, boolean full, List<Entry> entries) { }

    enum State { CONNECTING, ASKED, FOLLOWED, LEAVING, ENDED }

    enum Input { UP, HEARD, AWAY, BACK, BROKEN, SILENT }

    private record Row(State state, Input input, BiPredicate<Ledger, Source> when, State next,
            BiConsumer<Ledger, Source> effect) { }

    private static final BiPredicate<Ledger, Source> ALWAYS = (l, s) -> true;
    private static final BiConsumer<Ledger, Source> NOTHING = (l, s) -> { };

    /** The life of a source: the first row whose state, input and condition hold is taken. */
    private static final Row[] TABLE = {
        new Row(State.CONNECTING, Input.UP, ALWAYS, State.ASKED, NOTHING),
        new Row(State.CONNECTING, Input.AWAY, ALWAYS, State.ENDED, Ledger::leave), // it can't have told anything
        new Row(State.ASKED, Input.HEARD, ALWAYS, State.FOLLOWED, Ledger::works),
        new Row(State.ASKED, Input.AWAY, ALWAYS, State.LEAVING, Ledger::keepFew), // its answer may be on its way
        new Row(State.FOLLOWED, Input.HEARD, ALWAYS, State.FOLLOWED, Ledger::works),
        new Row(State.FOLLOWED, Input.AWAY, ALWAYS, State.LEAVING, Ledger::keepFew), // what it wrote counts as told
        new Row(State.LEAVING, Input.HEARD, ALWAYS, State.LEAVING, NOTHING),
        new Row(State.LEAVING, Input.BACK, ALWAYS, State.FOLLOWED, Ledger::works),
        new Row(State.CONNECTING, Input.SILENT, ALWAYS, State.ENDED, Ledger::restart),
        new Row(State.ASKED, Input.SILENT, ALWAYS, State.ENDED, Ledger::restart),
        new Row(State.FOLLOWED, Input.SILENT, ALWAYS, State.ENDED, Ledger::restart),
        new Row(State.LEAVING, Input.SILENT, ALWAYS, State.ENDED, Ledger::leave),
        new Row(State.CONNECTING, Input.BROKEN, ALWAYS, State.ENDED, Ledger::again),
        new Row(State.ASKED, Input.BROKEN, ALWAYS, State.ENDED, Ledger::again),
        new Row(State.FOLLOWED, Input.BROKEN, ALWAYS, State.ENDED, Ledger::again),
        new Row(State.LEAVING, Input.BROKEN, ALWAYS, State.ENDED, Ledger::again),
    };

    private void step(Source source, Input input) {
        for (Row row : TABLE) {
            if (row.state == source.state && row.input == input && row.when.test(this, source)) {
                source.state = row.next;
                row.effect.accept(this, source);
                return;
            }
        }
    }

    // ---- State ----

    /** One watch on one address, from its opening to its end. */
    public static final class Source {
        public final Object address;
        /** What the front keeps about it; nobody else reads it. */
        public Object front;
        private State state = State.CONNECTING;
        private long upTo = NONE, heardAt; // the generation up to which it has told
        private long behindSince = NEVER;
        private Map<String, Entry> own; // its list, from its first whole one on

        private Source(Object address, long now) {
            this.address = address;
            heardAt = now;
        }

        /** Whether what comes from it is still to be read. */
        public boolean wanted() { return state != State.ENDED; }
    }

    /** What is in force of one member, and the generation that last named it. */
    private record Known(Entry entry, long named) { }

    private static final long NONE = -1, NEVER = Long.MAX_VALUE;
    private static final int MOST = 8; // sources that are read at a time: each holds a descriptor
    private static final int MOST_GONE = 4096; // members that went, remembered beyond a new beginning

    private final Effects effects;
    private final long beat, silence, firstWait, lastWait;
    private final List<Source> sources = new ArrayList<>(); // those that live, the oldest first
    private final Map<String, Known> known = new LinkedHashMap<>();
    private final Map<String, Long> gone = new LinkedHashMap<>(); // start of the process that went, the last ones
    private Object address;
    private long generation = NONE; // every change up to it has been told
    private long now, wait;
    private boolean heard, waiting, closed;

    /** Waits grow up to a beat: for lists that bind nobody until they have come. */
    public Ledger(long beat, Effects effects) {
        this(beat, 2 * beat, effects);
    }

    /**
     * beat: nanoseconds between two signs of life of a source; three without any, and it is silent. grace: how long a
     * drain may go unheeded. A source on this machine counts as having told what it holds, whether it was asked or
     * not: half of the grace is the longest wait between two tries to ask it.
     */
    public Ledger(long beat, long grace, Effects effects) {
        this.beat = beat;
        this.effects = effects;
        silence = 3 * beat;
        lastWait = Math.max(1, Math.min(beat, grace / 2));
        firstWait = Math.min(beat / 20, lastWait);
        wait = firstWait;
    }

    // ---- Inputs ----

    /** All inputs up to the next call happened at this moment; nanoseconds. */
    public void begin(long time) { now = time; }

    /** The list as this gateway last had it: it stands until a source tells what is no older. */
    public void remembered(Told list) {
        generation = Math.max(generation, list.generation);
        list.entries.forEach(e -> known.put(e.id, new Known(e, generation)));
        effects.inForce(ListKind.CACHED, list.entries);
    }

    /** The list comes from this address from now on; what still lives of others is read to its end. */
    public void moveTo(Object where) {
        if (closed || where.equals(address)) {
            return;
        }
        address = where;
        wait = firstWait;
        Source back = null;
        for (Source each : new ArrayList<>(sources)) {
            boolean here = each.address.equals(where);
            step(each, here ? Input.BACK : Input.AWAY);
            back = here && each.wanted() ? each : back;
        }
        if (back == null) {
            waiting = false;
            open();
        }
    }

    /** The time that openIn named has passed. */
    public void wake() {
        if (waiting) {
            waiting = false;
            open();
        }
    }

    /** The source's connection has come up and its request goes out. */
    public void up(Source source) { step(source, Input.UP); }

    /** An empty line: the source lives and has nothing new. */
    public void beat(Source source) {
        hear(source);
        startsAnew(source);
    }

    /** A list that could be read. */
    public void told(Source source, Told list) {
        if (source.wanted()) {
            hear(source);
            take(source, list);
        }
    }

    /** The source's connection has ended, has never come up, or has told what can't be read. */
    public void broken(Source source) { step(source, Input.BROKEN); }

    /** Guards against a source that stays open and says nothing, not even its empty lines. */
    public void sweep() {
        for (Source each : new ArrayList<>(sources)) {
            if (now - each.heardAt >= silence) {
                effects.count("silent");
                step(each, Input.SILENT);
            }
        }
    }

    public void close() {
        closed = true;
        for (Source each : new ArrayList<>(sources)) {
            each.state = State.ENDED;
            leave(each);
        }
    }

    // ---- What is asked ----

    /** Whether a source itself has told a list since the start. */
    public boolean heard() { return heard; }

    /** The generation up to which everything has been told; below zero before the first. */
    public long since() { return generation; }

    /** A row a source: address, state, generation it has told, generation in force, nanoseconds since it was heard. */
    public List<String[]> rows() {
        List<String[]> rows = new ArrayList<>();
        for (Source s : sources) {
            rows.add(new String[] {s.address.toString(), s.state.name().toLowerCase(java.util.Locale.ROOT)
                    + (s.behindSince == NEVER ? "" : ", behind"), s.upTo == NONE ? "" : Long.toString(s.upTo),
                generation == NONE ? "" : Long.toString(generation), Long.toString(now - s.heardAt)});
        }
        return rows;
    }

    /** Ids in force with their phase, in the order they became known; for checks. */
    Map<String, Phase> phases() {
        Map<String, Phase> all = new LinkedHashMap<>();
        known.forEach((id, k) -> all.put(id, k.entry.phase));
        return all;
    }

    // ---- Effects of the table ----

    private void open() {
        if (!closed && address != null) {
            Source made = new Source(address, now);
            sources.add(made);
            effects.count("watches");
            effects.open(made);
        }
    }

    private void works(Source source) { wait = firstWait; } // only what can be read ends the growing waits

    private void leave(Source source) {
        sources.remove(source);
        effects.close(source);
    }

    private void restart(Source source) {
        leave(source);
        reopen();
    }

    /** It ended by itself. */
    private void again(Source source) {
        leave(source);
        reopen();
    }

    /** Opens a watch anew after a wait that grows while nothing comes, so that no storm arises. */
    private void reopen() {
        boolean served = sources.stream().anyMatch(s -> s.address.equals(address));
        if (!served && !waiting && !closed) {
            waiting = true;
            effects.openIn(wait);
            wait = Math.min(2 * wait, lastWait);
        }
    }

    /** Guards the descriptors where an operator moves on and on and the old sources all stay. */
    private void keepFew(Source source) {
        if (sources.size() >= MOST) {
            Source oldest = sources.stream().filter(s -> s.state == State.LEAVING).findFirst().orElse(source);
            oldest.state = State.ENDED;
            effects.count("left");
            leave(oldest);
        }
    }

    private void hear(Source source) {
        source.heardAt = now;
        step(source, Input.HEARD);
    }

    // ---- The list ----

    private void take(Source source, Told list) {
        long told = list.generation < 0 ? generation : list.generation;
        if (list.full && told < source.upTo && source.state == State.FOLLOWED) {
            anew(source, told, list.entries); // on one connection the order is its own: it has gone back by itself
            return;
        }
        boolean next = source.upTo == generation; // what is in force is what this one told last
        source.upTo = Math.max(source.upTo, told);
        heard = true;
        follow(source, list);
        if (told >= generation) { // its changes are to its own list: after another's word that is the one to take
            boolean own = !next && !list.full && source.own != null;
            source.behindSince = NEVER;
            generation = told;
            inForce(own ? new Told(told, true, List.copyOf(source.own.values())) : list, told, list.generation < 0);
            return;
        }
        effects.count("older");
        if (source.behindSince == NEVER) {
            source.behindSince = now;
        }
        if (!startsAnew(source)) {
            older(list, told);
        }
    }

    /** A list that is no older than what is in force. A tie leaves the stronger word, as of two sources. */
    private void inForce(Told list, long told, boolean unnumbered) {
        List<Entry> entries = new ArrayList<>();
        Map<String, Known> before = new LinkedHashMap<>(known);
        if (list.full) {
            known.clear(); // what a full list leaves out is gone
        }
        for (Entry entry : list.entries) {
            Known last = before.get(entry.id);
            gone.remove(entry.id);
            boolean stands = !unnumbered && last != null && last.named == told
                    && entry.startedAt <= last.entry.startedAt && last.entry.phase.compareTo(entry.phase) > 0;
            put(stands ? last.entry : entry, told, entries);
        }
        before.values().stream().filter(k -> !known.containsKey(k.entry.id)).forEach(k -> went(k.entry));
        effects.count("lists");
        effects.inForce(list.full ? ListKind.FULL : ListKind.CHANGES, entries);
    }

    private void put(Entry entry, long named, List<Entry> entries) {
        entries.add(entry);
        if (entry.phase == Phase.GONE) {
            Known last = known.remove(entry.id); // named by an older list it is unknown, and stays so
            went(last == null ? entry : last.entry);
        } else {
            known.put(entry.id, new Known(entry, named));
        }
    }

    private void went(Entry entry) {
        gone.put(entry.id, entry.startedAt);
        if (gone.size() > MOST_GONE) {
            gone.remove(gone.keySet().iterator().next());
        }
    }

    /**
     * Of a list that is behind, a member's newer process counts, and a drain that nothing newer has undone: guards
     * against calling a member that one source has told to drain while another, further on, had no cause to name it.
     */
    private void older(Told list, long told) {
        List<Entry> entries = new ArrayList<>();
        for (Entry entry : list.entries) {
            Known last = known.get(entry.id);
            if (last == null) {
                continue;
            }
            boolean started = last.entry.startedAt > 0 && entry.startedAt > last.entry.startedAt;
            boolean drains = entry.phase != Phase.UP && last.entry.phase == Phase.UP && told > last.named
                    && entry.startedAt >= last.entry.startedAt;
            if (started || drains) {
                put(entry, Math.max(told, last.named), entries);
            }
        }
        if (!entries.isEmpty()) {
            effects.count("older.taken");
            effects.inForce(ListKind.CHANGES, entries);
        }
    }

    private static void follow(Source source, Told list) {
        if (list.full) {
            source.own = new LinkedHashMap<>();
        }
        if (source.own != null) {
            for (Entry entry : list.entries) {
                if (entry.phase == Phase.GONE) {
                    source.own.remove(entry.id);
                } else {
                    source.own.put(entry.id, entry);
                }
            }
        }
    }

    /**
     * A source's numbers may have been set back for good. The signs: it is the only one that lives, is the one to be
     * followed, has told a whole list, and either all of its processes are younger than any in force, or it has stayed
     * behind for as long as a source may be silent. Its first word alone is no sign.
     */
    private boolean startsAnew(Source source) {
        if (source.behindSince == NEVER || source.own == null || source.state != State.FOLLOWED || sources.size() > 1) {
            return false;
        }
        long youngest = known.values().stream().mapToLong(k -> k.entry.startedAt).max().orElse(NEVER);
        boolean allNew = !source.own.isEmpty() && source.own.values().stream().allMatch(e -> e.startedAt > youngest);
        if (allNew || now - source.behindSince >= silence) {
            anew(source, source.upTo, new ArrayList<>(source.own.values()));
            return true;
        }
        return false;
    }

    /** The list begins anew. A drain or an end outlives that: only a newer process or a later list undoes it. */
    private void anew(Source source, long told, List<Entry> list) {
        effects.count("anew");
        effects.log("discovery starts anew: its generation went from " + generation + " to " + told);
        Map<String, Known> before = new LinkedHashMap<>(known);
        known.clear();
        for (Entry entry : list) {
            Known last = before.get(entry.id);
            Long end = gone.get(entry.id);
            if (end != null && entry.startedAt <= end) {
                continue;
            }
            boolean stands = last != null && last.entry.phase == Phase.DRAINING
                    && entry.startedAt <= last.entry.startedAt;
            known.put(entry.id, new Known(stands ? last.entry : entry, told));
        }
        before.values().stream().filter(k -> !known.containsKey(k.entry.id)).forEach(k -> went(k.entry));
        generation = told;
        source.upTo = told;
        follow(source, new Told(told, true, list));
        source.behindSince = NEVER;
        heard = true;
        effects.inForce(ListKind.FULL, known.values().stream().map(Known::entry).toList());
    }
}
