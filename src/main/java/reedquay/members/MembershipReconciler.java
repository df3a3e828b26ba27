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
 * Merges the member lists of several discovery agents into the one list in force, and decides which agents are watched.
 * Lists carry generations, which are comparable across all agents and order their updates. The class has no
 * connection, clock or thread: a front calls it with each event and its time, and carries out its Actions.
 */
public final class MembershipReconciler {
    /** The actions of the reconciler; the front carries them out in the order of the calls. */
    public interface Actions {
        /** Connects to the watch's address and requests all changes after generation(). */
        void openWatch(Watch watch);

        /** Closes the watch's connection; nothing more is read from it. */
        void closeWatch(Watch watch);

        /** Schedules a call of reopenTimerExpired() after the delay, in nanoseconds. */
        void scheduleReopen(long delay);

        /**
         * Applies the entries to the front's member list, in the order in which they were received. Each entry holds
         * what is in force for its member, which may differ from what the update said.
         */
        void updateMembers(ListKind kind, List<Entry> entries);

        /** Adds one to the counter of that name. */
        void incrementCounter(String name);

        /** Writes a line to the log. */
        void log(String message);
    }

    /**
     * What a list says about one member. startedAt: when its process started, in nanoseconds, 0 if that is unknown or
     * long ago; attributes: used by the front alone.
     */
    public record Entry(String id, Phase phase, long startedAt, Object attributes) { }

    /** A full list or a list of changes, as received; generation is negative if the list carries none. */
    public record ListUpdate(long generation, boolean full, List<Entry> entries) { }

    /** The states of a watch. */
    enum State {
        CONNECTING("connecting"),
        /** Connected; the request is sent and nothing has been received. */
        REQUESTED("asked"),
        /** Receives the list from the current address. */
        ACTIVE("followed"),
        /** Connected to an address that is no longer the current one; what still arrives is read. */
        SUPERSEDED("leaving"),
        CLOSED("ended");

        /** The name in the output of SHOW discovery. */
        final String shownAs;

        State(String shownAs) {
            this.shownAs = shownAs;
        }
    }

    /** The inputs of a watch's state machine. */
    enum Input { CONNECTED, LINE_RECEIVED, ADDRESS_LEFT, ADDRESS_RESTORED, FAILED, TIMED_OUT }

    private record Transition(State from, Input input, BiPredicate<MembershipReconciler, Watch> condition, State to,
            BiConsumer<MembershipReconciler, Watch> action) { }

    private static final BiPredicate<MembershipReconciler, Watch> ALWAYS = (reconciler, watch) -> true;
    private static final BiConsumer<MembershipReconciler, Watch> NO_ACTION = (reconciler, watch) -> { };

    /** The state machine of a watch: the first transition whose state, input and condition match is taken. */
    private static final Transition[] TRANSITIONS = {
        new Transition(State.CONNECTING, Input.CONNECTED, ALWAYS, State.REQUESTED, NO_ACTION),
        // closed at once: before the request is sent the agent cannot have reported anything
        new Transition(State.CONNECTING, Input.ADDRESS_LEFT, ALWAYS, State.CLOSED, MembershipReconciler::closeWatch),
        new Transition(State.REQUESTED, Input.LINE_RECEIVED, ALWAYS, State.ACTIVE, MembershipReconciler::firstAnswered),
        // stays open: the agent's answer may be in transit
        new Transition(State.REQUESTED, Input.ADDRESS_LEFT, ALWAYS, State.SUPERSEDED,
                MembershipReconciler::limitWatches),
        new Transition(State.ACTIVE, Input.LINE_RECEIVED, ALWAYS, State.ACTIVE, MembershipReconciler::resetReopenDelay),
        // stays open: what the agent has written counts as reported and must be read
        new Transition(State.ACTIVE, Input.ADDRESS_LEFT, ALWAYS, State.SUPERSEDED, MembershipReconciler::limitWatches),
        new Transition(State.SUPERSEDED, Input.LINE_RECEIVED, ALWAYS, State.SUPERSEDED, NO_ACTION),
        new Transition(State.SUPERSEDED, Input.ADDRESS_RESTORED, ALWAYS, State.ACTIVE,
                MembershipReconciler::resetReopenDelay),
        new Transition(State.CONNECTING, Input.TIMED_OUT, ALWAYS, State.CLOSED,
                MembershipReconciler::reopenAfterSilence),
        new Transition(State.REQUESTED, Input.TIMED_OUT, ALWAYS, State.CLOSED,
                MembershipReconciler::reopenAfterSilence),
        new Transition(State.ACTIVE, Input.TIMED_OUT, ALWAYS, State.CLOSED, MembershipReconciler::reopenAfterSilence),
        new Transition(State.SUPERSEDED, Input.TIMED_OUT, ALWAYS, State.CLOSED, MembershipReconciler::closeWatch),
        new Transition(State.CONNECTING, Input.FAILED, ALWAYS, State.CLOSED, MembershipReconciler::reopenAfterFailure),
        new Transition(State.REQUESTED, Input.FAILED, ALWAYS, State.CLOSED, MembershipReconciler::reopenAfterFailure),
        new Transition(State.ACTIVE, Input.FAILED, ALWAYS, State.CLOSED, MembershipReconciler::reopenAfterFailure),
        new Transition(State.SUPERSEDED, Input.FAILED, ALWAYS, State.CLOSED, MembershipReconciler::reopenAfterFailure),
    };

    private void handle(Watch watch, Input input) {
        for (Transition transition : TRANSITIONS) {
            if (transition.from == watch.state && transition.input == input && transition.condition.test(this, watch)) {
                watch.state = transition.to;
                transition.action.accept(this, watch);
                return;
            }
        }
    }

    // ---- State ----

    /** A connection to one discovery address that receives the member list, from its opening to its close. */
    public static final class Watch {
        public final Object address;
        /** State of the front for this watch; nothing else reads it. */
        public Object frontState;
        private State state = State.CONNECTING;
        private long receivedGeneration = NO_GENERATION, lastReceivedAt; // the highest generation received here
        private long behindSince = NEVER; // when it first sent a generation below the one in force
        private Map<String, Entry> ownMembers; // the list as this agent reports it; null before its first full list

        private Watch(Object address, long now) {
            this.address = address;
            lastReceivedAt = now;
        }

        /** Whether data from this watch is still to be read. */
        public boolean isOpen() { return state != State.CLOSED; }

        private boolean isUnanswered() { return state == State.CONNECTING || state == State.REQUESTED; }
    }

    /** What is in force for one member, and the highest generation that has named it. */
    private record KnownMember(Entry entry, long generation) { }

    private static final long NO_GENERATION = -1, NEVER = Long.MAX_VALUE;
    private static final int MAX_WATCHES = 8; // open at a time; each holds a descriptor
    private static final int MAX_DEPARTED = 4096; // departed members that are remembered across a generation reset

    private final Actions actions;
    private final long heartbeatInterval, silenceTimeout, initialAnswerTimeout, initialReopenDelay, maxReopenDelay;
    private final List<Watch> watches = new ArrayList<>(); // open ones, the oldest first
    private final Map<String, KnownMember> members = new LinkedHashMap<>();
    private final Map<String, Long> departedStartTimes = new LinkedHashMap<>(); // by id, the latest departures
    private Object currentAddress;
    private long generation = NO_GENERATION; // every change up to this generation has been received
    private long now, reopenDelay, openedAt; // openedAt: the last watch
    private long answerTimeout; // after which another watch is opened beside those that have received nothing
    private boolean listReceived, reopenScheduled, closed;

    /** For agents whose changes bind the gateway only once received: the reopen delay grows to one heartbeat. */
    public MembershipReconciler(long heartbeatInterval, Actions actions) {
        this(heartbeatInterval, 2 * heartbeatInterval, actions);
    }

    /**
     * Creates a reconciler. heartbeatInterval: nanoseconds between two heartbeats of an agent; a watch that receives
     * nothing for three of them has timed out. drainGrace: nanoseconds within which a drain must take effect. A drain
     * that an agent on this machine knows of binds the gateway whether or not the agent was asked, so the delay between
     * two attempts to open a watch is at most half of the grace.
     */
    public MembershipReconciler(long heartbeatInterval, long drainGrace, Actions actions) {
        this.heartbeatInterval = heartbeatInterval;
        this.actions = actions;
        silenceTimeout = 3 * heartbeatInterval;
        initialAnswerTimeout = heartbeatInterval / 2;
        answerTimeout = initialAnswerTimeout;
        maxReopenDelay = Math.max(1, Math.min(heartbeatInterval, drainGrace / 2));
        initialReopenDelay = Math.min(heartbeatInterval / 20, maxReopenDelay);
        reopenDelay = initialReopenDelay;
    }

    // ---- Inputs ----

    /** Sets the time, in nanoseconds, at which all inputs up to the next call happened. */
    public void beginBatch(long time) { now = time; }

    /** Restores the list that this gateway had before a restart; it stands until an update that is not older. */
    public void restore(ListUpdate cached) {
        generation = Math.max(generation, cached.generation);
        cached.entries.forEach(entry -> members.put(entry.id, new KnownMember(entry, generation)));
        actions.updateMembers(ListKind.CACHED, cached.entries);
    }

    /** Takes the list from this address from now on; open watches of other addresses are read to their end. */
    public void moveTo(Object newAddress) {
        if (closed || newAddress.equals(currentAddress)) {
            return;
        }
        currentAddress = newAddress;
        reopenDelay = initialReopenDelay;
        answerTimeout = initialAnswerTimeout;
        Watch reusedWatch = null;
        for (Watch watch : new ArrayList<>(watches)) {
            boolean atNewAddress = watch.address.equals(newAddress);
            handle(watch, atNewAddress ? Input.ADDRESS_RESTORED : Input.ADDRESS_LEFT);
            reusedWatch = atNewAddress && watch.isOpen() ? watch : reusedWatch;
        }
        if (reusedWatch == null) {
            reopenScheduled = false;
            openWatch();
        }
    }

    /** The delay passed to Actions.scheduleReopen is over. */
    public void reopenTimerExpired() {
        if (reopenScheduled) {
            reopenScheduled = false;
            openWatch();
        }
    }

    /** The watch is connected and its request is being sent. */
    public void connected(Watch watch) { handle(watch, Input.CONNECTED); }

    /** An empty line was received: the agent is alive and has no changes. */
    public void heartbeatReceived(Watch watch) {
        lineReceived(watch);
        resetIfGenerationsRestarted(watch);
    }

    /** A list was received and parsed. */
    public void updateReceived(Watch watch, ListUpdate update) {
        if (watch.isOpen()) {
            lineReceived(watch);
            applyUpdate(watch, update);
        }
    }

    /** The connection was closed or could not be opened, or delivered data that cannot be parsed. */
    public void failed(Watch watch) { handle(watch, Input.FAILED); }

    /**
     * Closes each watch that stays connected but has received nothing, heartbeats included, for too long; opens another
     * one beside those that have not received their first answer.
     */
    public void closeSilentWatches() {
        for (Watch watch : new ArrayList<>(watches)) {
            if (now - watch.lastReceivedAt >= silenceTimeout) {
                actions.incrementCounter("silent");
                handle(watch, Input.TIMED_OUT);
            }
        }
        if (isUnanswered() && now - openedAt >= answerTimeout && watches.size() < MAX_WATCHES) {
            actions.incrementCounter("unanswered");
            answerTimeout = Math.min(2 * answerTimeout, silenceTimeout);
            openWatch();
        }
    }

    /**
     * Whether the current address is watched and has not answered any of its watches. Prevents drains that are learnt
     * too late, which happen when a new watch falls silent before its first answer, and the agent, which answers at
     * once where it can, is asked again only after the whole time that an answered watch may be silent. The watches
     * before stay open, since an agent may be slow.
     */
    private boolean isUnanswered() {
        List<Watch> current = watches.stream().filter(watch -> watch.address.equals(currentAddress)).toList();
        return !current.isEmpty() && current.stream().allMatch(Watch::isUnanswered);
    }

    /** Closes all watches for good. */
    public void close() {
        closed = true;
        for (Watch watch : new ArrayList<>(watches)) {
            watch.state = State.CLOSED;
            closeWatch(watch);
        }
    }

    // ---- Queries ----

    /** Whether any agent has sent a list since the start. */
    public boolean hasReceivedList() { return listReceived; }

    /** The generation in force: all changes up to it have been received. Negative before the first. */
    public long generation() { return generation; }

    /** A row per watch: address, state, generation received, generation in force, nanoseconds since the last line. */
    public List<String[]> statusRows() {
        List<String[]> rows = new ArrayList<>();
        for (Watch watch : watches) {
            rows.add(new String[] {watch.address.toString(),
                watch.state.shownAs + (watch.behindSince == NEVER ? "" : ", behind"),
                watch.receivedGeneration == NO_GENERATION ? "" : Long.toString(watch.receivedGeneration),
                generation == NO_GENERATION ? "" : Long.toString(generation),
                Long.toString(now - watch.lastReceivedAt)});
        }
        return rows;
    }

    /** Members in force and their phases, in the order in which they became known; for tests. */
    Map<String, Phase> phases() {
        Map<String, Phase> phases = new LinkedHashMap<>();
        members.forEach((id, member) -> phases.put(id, member.entry.phase));
        return phases;
    }

    // ---- Actions of the transitions ----

    private void openWatch() {
        if (!closed && currentAddress != null) {
            Watch watch = new Watch(currentAddress, now);
            openedAt = now;
            watches.add(watch);
            actions.incrementCounter("watches");
            actions.openWatch(watch);
        }
    }

    /** Called when a line is received: a connection that opens but delivers nothing does not reset the delay. */
    private void resetReopenDelay(Watch watch) {
        reopenDelay = initialReopenDelay;
        answerTimeout = initialAnswerTimeout;
    }

    /** The first line of a watch: those beside it that have received nothing are of the same agent, and not needed. */
    private void firstAnswered(Watch watch) {
        resetReopenDelay(watch);
        for (Watch other : new ArrayList<>(watches)) {
            if (other.isUnanswered()) {
                other.state = State.CLOSED;
                closeWatch(other);
            }
        }
    }

    private void closeWatch(Watch watch) {
        watches.remove(watch);
        actions.closeWatch(watch);
    }

    private void reopenAfterSilence(Watch watch) {
        closeWatch(watch);
        scheduleReopen();
    }

    private void reopenAfterFailure(Watch watch) {
        closeWatch(watch);
        scheduleReopen();
    }

    /** Opens a watch after an exponential delay, so that an agent that is down is not flooded with connections. */
    private void scheduleReopen() {
        boolean watched = watches.stream().anyMatch(watch -> watch.address.equals(currentAddress));
        if (!watched && !reopenScheduled && !closed) {
            reopenScheduled = true;
            actions.scheduleReopen(reopenDelay);
            reopenDelay = Math.min(2 * reopenDelay, maxReopenDelay);
        }
    }

    /**
     * Closes the oldest superseded watch if too many are open. Prevents running out of descriptors, which happens when
     * an operator changes the address again and again and the old agents keep their connections open.
     */
    private void limitWatches(Watch watch) {
        if (watches.size() >= MAX_WATCHES) {
            Watch oldest = watches.stream().filter(w -> w.state == State.SUPERSEDED).findFirst().orElse(watch);
            oldest.state = State.CLOSED;
            actions.incrementCounter("left");
            closeWatch(oldest);
        }
    }

    private void lineReceived(Watch watch) {
        watch.lastReceivedAt = now;
        handle(watch, Input.LINE_RECEIVED);
    }

    // ---- The list ----

    private void applyUpdate(Watch watch, ListUpdate update) {
        long updateGeneration = update.generation < 0 ? generation : update.generation;
        if (update.full && updateGeneration < watch.receivedGeneration && watch.state == State.ACTIVE) {
            // one connection delivers in order, so the agent itself has gone back to a lower generation
            resetTo(watch, updateGeneration, update.entries);
            return;
        }
        boolean wasLatest = watch.receivedGeneration == generation; // the list in force is the one this watch sent last
        watch.receivedGeneration = Math.max(watch.receivedGeneration, updateGeneration);
        listReceived = true;
        updateOwnMembers(watch, update);
        if (updateGeneration >= generation) {
            // changes refer to this agent's own list, all of which is applied if another watch set the list in force
            boolean useOwnMembers = !wasLatest && !update.full && watch.ownMembers != null;
            watch.behindSince = NEVER;
            generation = updateGeneration;
            applyCurrentUpdate(useOwnMembers
                    ? new ListUpdate(updateGeneration, true, List.copyOf(watch.ownMembers.values())) : update,
                    updateGeneration, update.generation < 0);
            return;
        }
        actions.incrementCounter("older");
        if (watch.behindSince == NEVER) {
            watch.behindSince = now;
        }
        if (!resetIfGenerationsRestarted(watch)) {
            applyOlderUpdate(update, updateGeneration);
        }
    }

    /**
     * Applies an update that is not older than the list in force. If the entry in force has the same generation, as
     * when two agents report one generation, the later phase (UP, DRAINING, GONE) stands unless the process is newer.
     */
    private void applyCurrentUpdate(ListUpdate update, long updateGeneration, boolean withoutGeneration) {
        List<Entry> applied = new ArrayList<>();
        Map<String, KnownMember> previousMembers = new LinkedHashMap<>(members);
        if (update.full) {
            members.clear(); // a member that a full list omits is gone
        }
        for (Entry entry : update.entries) {
            KnownMember previous = previousMembers.get(entry.id);
            departedStartTimes.remove(entry.id);
            boolean keepPrevious = !withoutGeneration && previous != null && previous.generation == updateGeneration
                    && entry.startedAt <= previous.entry.startedAt && previous.entry.phase.compareTo(entry.phase) > 0;
            putMember(keepPrevious ? previous.entry : entry, updateGeneration, applied);
        }
        previousMembers.values().stream().filter(member -> !members.containsKey(member.entry.id))
                .forEach(member -> recordDeparture(member.entry));
        actions.incrementCounter("lists");
        actions.updateMembers(update.full ? ListKind.FULL : ListKind.CHANGES, applied);
    }

    private void putMember(Entry entry, long memberGeneration, List<Entry> applied) {
        applied.add(entry);
        if (entry.phase == Phase.GONE) {
            KnownMember previous = members.remove(entry.id); // later outdated updates ignore it as unknown
            recordDeparture(previous == null ? entry : previous.entry);
        } else {
            members.put(entry.id, new KnownMember(entry, memberGeneration));
        }
    }

    private void recordDeparture(Entry entry) {
        departedStartTimes.put(entry.id, entry.startedAt);
        if (departedStartTimes.size() > MAX_DEPARTED) {
            departedStartTimes.remove(departedStartTimes.keySet().iterator().next());
        }
    }

    /**
     * Applies the part of an outdated update that still holds: newer processes of known members, and each drain or
     * departure that no newer generation has undone. Prevents calls to a member that one agent reported as draining,
     * which happen when another agent with a higher generation had no reason to name that member.
     */
    private void applyOlderUpdate(ListUpdate update, long updateGeneration) {
        List<Entry> applied = new ArrayList<>();
        for (Entry entry : update.entries) {
            KnownMember previous = members.get(entry.id);
            if (previous == null) {
                continue;
            }
            boolean newerProcess = previous.entry.startedAt > 0 && entry.startedAt > previous.entry.startedAt;
            boolean newDrain = entry.phase != Phase.UP && previous.entry.phase == Phase.UP
                    && updateGeneration > previous.generation && entry.startedAt >= previous.entry.startedAt;
            if (newerProcess || newDrain) {
                putMember(entry, Math.max(updateGeneration, previous.generation), applied);
            }
        }
        if (!applied.isEmpty()) {
            actions.incrementCounter("older.taken");
            actions.updateMembers(ListKind.CHANGES, applied);
        }
    }

    private static void updateOwnMembers(Watch watch, ListUpdate update) {
        if (update.full) {
            watch.ownMembers = new LinkedHashMap<>();
        }
        if (watch.ownMembers != null) {
            for (Entry entry : update.entries) {
                if (entry.phase == Phase.GONE) {
                    watch.ownMembers.remove(entry.id);
                } else {
                    watch.ownMembers.put(entry.id, entry);
                }
            }
        }
    }

    /**
     * Accepts lower generations if the agent's numbering has restarted for good. The evidence: the watch is active and
     * the only one open, has sent a full list, and either all processes in it are newer than any in force, or it has
     * stayed behind for as long as a watch may be silent. A first lower generation alone is not evidence.
     */
    private boolean resetIfGenerationsRestarted(Watch watch) {
        if (watch.behindSince == NEVER || watch.ownMembers == null || watch.state != State.ACTIVE
                || watches.size() > 1) {
            return false;
        }
        long latestStart = members.values().stream().mapToLong(member -> member.entry.startedAt).max().orElse(NEVER);
        boolean allNewer = !watch.ownMembers.isEmpty()
                && watch.ownMembers.values().stream().allMatch(entry -> entry.startedAt > latestStart);
        if (allNewer || now - watch.behindSince >= silenceTimeout) {
            resetTo(watch, watch.receivedGeneration, new ArrayList<>(watch.ownMembers.values()));
            return true;
        }
        return false;
    }

    /**
     * Replaces the list in force by one of a lower generation. Members that drained or departed stay so: only a newer
     * process or a later update undoes that.
     */
    private void resetTo(Watch watch, long updateGeneration, List<Entry> entries) {
        actions.incrementCounter("anew");
        actions.log("discovery: generation reset from " + generation + " to " + updateGeneration
                + "; replacing the member list");
        Map<String, KnownMember> previousMembers = new LinkedHashMap<>(members);
        members.clear();
        for (Entry entry : entries) {
            KnownMember previous = previousMembers.get(entry.id);
            Long departedStart = departedStartTimes.get(entry.id);
            if (departedStart != null && entry.startedAt <= departedStart) {
                continue;
            }
            boolean keepDrain = previous != null && previous.entry.phase == Phase.DRAINING
                    && entry.startedAt <= previous.entry.startedAt;
            members.put(entry.id, new KnownMember(keepDrain ? previous.entry : entry, updateGeneration));
        }
        previousMembers.values().stream().filter(member -> !members.containsKey(member.entry.id))
                .forEach(member -> recordDeparture(member.entry));
        generation = updateGeneration;
        watch.receivedGeneration = updateGeneration;
        updateOwnMembers(watch, new ListUpdate(updateGeneration, true, entries));
        watch.behindSince = NEVER;
        listReceived = true;
        actions.updateMembers(ListKind.FULL, members.values().stream().map(KnownMember::entry).toList());
    }
}
