package reedquay.fair;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.zip.CRC32;
import reedquay.core.CallOut;
import reedquay.core.RoutingActions;
import reedquay.core.Latency;
import reedquay.core.ListedMember;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.LoadReport;
import reedquay.core.Role;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.Stage;

/**
 * Who waits at the door, who goes in next, and what one that is turned away is told. It stands before the Router, which
 * alone decides which member, whether again, and what is turned away for a member's sake. What waits here has provably
 * never run, so that it may always be pushed back; what was let in is out of its hands. In this order: the table of an
 * RPC's way, the state, the inputs, the table's conditions and effects, room, what is shown.
 */
public final class AdmissionController extends Stage {
    enum State { NEW, WAITING, INSIDE, LEFT }

    enum Input { ARRIVE, NEXT, LATE, CROWDED, ANSWERED, AWAY, GONE }

    private record Row(State state, Input input, BiPredicate<AdmissionController, Turn> when, State next,
            BiConsumer<AdmissionController, Turn> effect) { }

    private static final BiPredicate<AdmissionController, Turn> ALWAYS = (d, t) -> true;
    private static final BiPredicate<AdmissionController, Turn> ENDED = (d, t) -> t.rpc.ended;
    private static final BiPredicate<AdmissionController, Turn> UNKNOWN = (d, t) -> t.ways == null;

    /** The way of an RPC: the first row whose state, input and condition hold is taken. */
    private static final Row[] TABLE = {
        new Row(State.NEW, Input.ARRIVE, UNKNOWN, State.INSIDE, AdmissionController::pass), // the Router says what to do
        new Row(State.NEW, Input.ARRIVE, AdmissionController::roomy, State.INSIDE, AdmissionController::letIn),
        new Row(State.NEW, Input.ARRIVE, AdmissionController::asTold, State.WAITING, AdmissionController::keep),
        new Row(State.NEW, Input.ARRIVE, AdmissionController::inTime, State.WAITING, AdmissionController::queue),
        new Row(State.NEW, Input.ARRIVE, ALWAYS, State.LEFT, AdmissionController::turnAway),
        new Row(State.WAITING, Input.NEXT, ENDED, State.LEFT, AdmissionController::offWheel), // its client has left
        new Row(State.WAITING, Input.LATE, ENDED, State.LEFT, AdmissionController::drop),
        new Row(State.WAITING, Input.CROWDED, ENDED, State.LEFT, AdmissionController::drop),
        new Row(State.WAITING, Input.NEXT, ALWAYS, State.INSIDE, AdmissionController::letIn),
        new Row(State.WAITING, Input.LATE, ALWAYS, State.LEFT, AdmissionController::tooLate),
        new Row(State.WAITING, Input.CROWDED, ALWAYS, State.LEFT, AdmissionController::giveWay),
        new Row(State.WAITING, Input.GONE, ALWAYS, State.LEFT, AdmissionController::drop),
        new Row(State.INSIDE, Input.ANSWERED, ALWAYS, State.LEFT, AdmissionController::answered),
        new Row(State.INSIDE, Input.AWAY, ALWAYS, State.LEFT, AdmissionController::away),
        new Row(State.INSIDE, Input.GONE, ALWAYS, State.LEFT, AdmissionController::leave),
    };

    private void step(Turn turn, Input input) {
        for (Row row : TABLE) {
            if (row.state == turn.state && row.input == input && row.when.test(this, turn)) {
                turn.state = row.next;
                row.effect.accept(this, turn);
                return;
            }
        }
    }

    // ---- State ----

    /** Why one was pushed back here; the order of the counts. */
    enum Reason { NO_TIME, FULL, LATE, MEMBERS }

    /** What became of a tenant's RPCs. */
    private static final class Tally {
        final String name;
        final double share; // a second, as the settings have it
        long in;
        long waited;
        long letIn;
        long early;
        long asTold;
        long keptInTime;
        final long[] pushedBack = new long[Reason.values().length];

        Tally(String name, double share) {
            this.name = name;
            this.share = share;
        }
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final int HEAVIEST = 64;

    private final Settings settings;
    private final long tick;
    private final long brisk; // the shortest soft deadline
    private final long spokeWidth;
    private final long longest; // to come back
    private final Map<String, Integer> tenants = new HashMap<>(); // never walked through
    private final List<Tally> tallies = new ArrayList<>();
    private final double[] weight;
    private final Map<Integer, Ways[]> groups = new HashMap<>(); // reads, writes; never walked through
    private final List<Ways> all = new ArrayList<>();
    private final Flows flows;
    private final Promises promises;
    private final Heaviest heaviest = new Heaviest(HEAVIEST);
    private final Map<Method, Latency> costs = new IdentityHashMap<>(); // never walked through
    private final Turn[] wheel; // by the time at which they can no longer be answered
    private final CRC32 crc = new CRC32();
    private final ByteBuffer words = ByteBuffer.allocate(2 * Long.BYTES);
    private final Hasher64 first;
    private Hasher64 hasher;
    private Hasher64 before; // that of the seed before, for promises made under it
    private long seedAt;
    private long counter;
    private long taken;
    private long now;
    private long wheelAt;
    private long routerAt = NEVER;
    private long alarmAt = NEVER;
    private long halvedAt;
    private Reason why;
    private boolean marks; // clients have been seen to mark further tries
    private boolean freed;

    public AdmissionController(Settings settings, AdmissionSettings terms, RoutingActions effects) {
        super(effects);
        this.settings = settings;
        tick = settings.tick();
        long second = 1_000_000_000;
        brisk = settings.methods().stream().mapToLong(Method::softDeadline).min().orElse(second);
        long most = settings.methods().stream().mapToLong(Method::deadline).max().orElse(second);
        spokeWidth = Math.max(1, brisk / 32);
        wheel = new Turn[(int) (most / 2 / spokeWidth) + 3];
        longest = settings.capabilities().retryAfter() ? settings.capabilities().maxRetryAfter() : 0;
        double least = NEVER;
        for (Settings.Tenant t : settings.tenants()) {
            if (tenants.putIfAbsent(t.name(), tallies.size()) == null) {
                tallies.add(new Tally(t.name(), Math.min(t.quotaPerSecond(), 1e9)));
                least = Math.min(least, tallies.get(tallies.size() - 1).share);
            }
        }
        tallies.add(new Tally("others", least == NEVER ? 1 : least)); // whatever their number, they weigh as one
        weight = new double[tallies.size()];
        setWeights(terms.tenantWeights());
        flows = new Flows(terms.maxWaiting(), weight);
        flows.quantum(brisk / 16);
        promises = new Promises(Math.max(1, brisk / 8), longest, brisk / 8, terms.maxWaiting());
        reseed();
        before = first = hasher;
    }

    /** Takes on weights while it runs; tenants that are not named weigh what their share is in the settings. */
    public void setWeights(Map<String, Double> weights) {
        double[] given = tallies.stream().mapToDouble(t -> weights.getOrDefault(t.name, t.share)).toArray();
        double least = Arrays.stream(given).min().orElse(1);
        Arrays.setAll(weight, i -> given[i] / least);
        all.forEach(w -> flows.reweighed(w.lane));
    }

    /** Bytes that it holds from its start on, whatever the number of callers. */
    public long memoryBytes() {
        return flows.bytes() + promises.bytes() + 8L * wheel.length + HEAVIEST * 40L;
    }

    // ---- Inputs ----

    @Override public void beginBatch(long time) {
        now = time;
        alarmAt = now + tick >= alarmAt ? NEVER : alarmAt; // by a coarser clock it rings early
        routerAt = now >= routerAt ? NEVER : routerAt;
        next.beginBatch(now);
        for (int i = 0; i < all.size(); i++) {
            Ways w = all.get(i);
            w.turn(now);
            if (w.room.pressed() && w.lane.length() == 0 && w.lane.kept.isEmpty()
                    && w.room.inside() < w.room.limit() / 2 && now - 4 * brisk >= w.busyAt) {
                w.room.tell(Room.Input.QUIET, now, brisk);
            }
        }
        if (now - 64 * brisk >= seedAt) {
            reseed();
        }
        if (now - 16 * brisk >= halvedAt) {
            halvedAt = now;
            heaviest.halve();
        }
        if (flows.waiting() > 0) {
            turnWheel();
        }
    }

    @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) {
        for (ListedMember entry : entries) {
            groups.computeIfAbsent(entry.group(), g -> new Ways[] {way(), way()});
        }
        next.membersListed(kind, entries);
    }

    private Ways way() {
        Flows.Lane lane = flows.lane();
        Ways made = new Ways(lane, promises.new Calendar(lane.index), brisk / 16, brisk / 2);
        all.add(made);
        return made;
    }

    @Override public void rpcArrived(Rpc rpc) {
        Ways[] ways = rpc.method == null ? null : groups.get(rpc.group);
        Turn turn = new Turn(rpc, ways == null ? null : ways[read(rpc.method) ? 0 : 1], tenant(rpc), now);
        rpc.stageState = turn;
        turn.sampled = (++taken & 3) == 0;
        tallies.get(turn.tenant).in++;
        step(turn, Input.ARRIVE);
    }

    private int tenant(Rpc rpc) {
        Integer known = rpc.tenant == null ? null : tenants.get(rpc.tenant);
        return known == null ? tallies.size() - 1 : known;
    }

    /**
     * Whether its being held or turned away shows a want of room: a write, or a read that any replica may serve now.
     * What waits for data to be recent enough waits for something else.
     */
    private static boolean plain(Rpc rpc) {
        Method.Consistency need = rpc.method.consistency();
        return need != Method.Consistency.BOUNDED && (need != Method.Consistency.SESSION || rpc.sessionTokenAge == 0);
    }

    /** Without pressure one in four is measured: it costs more than all else that is done for an RPC then. */
    private static boolean sampled(Turn turn) {
        return turn.ways == null || turn.ways.room.pressed() || turn.sampled;
    }

    private static boolean read(Method m) {
        return m.consistency() != Method.Consistency.WRITE && m.consistency() != Method.Consistency.FRESH;
    }

    @Override public void callOutEnded(CallOut call, Outcome outcome, long took, boolean ended, long position, Role role,
            LoadReport report) {
        Turn turn = (Turn) call.rpc.stageState;
        if (outcome == Outcome.OK && sampled(turn)) {
            cost(call.rpc.method).add(took);
        }
        if (outcome == Outcome.FULL && turn.ways != null) {
            turn.ways.room.tell(Room.Input.AWAY, now, usual(turn.ways));
        }
        if (ended && outcome == Outcome.OK) {
            step(turn, Input.ANSWERED);
        }
        next.callOutEnded(call, outcome, took, ended, position, role, report);
    }

    @Override public void sendCallOut(CallOut call, long limit) {
        Turn turn = (Turn) call.rpc.stageState;
        if (!turn.sent && turn.ways != null && plain(call.rpc)) {
            turn.held = now > turn.inside;
            boolean answers = now - brisk <= turn.ways.okAt; // else it is gone or unknown, and not full
            if (answers && (turn.held || turn.ways.room.pressed())) {
                turn.ways.hold.add((long) ((double) (now - turn.inside) * brisk / call.rpc.method.softDeadline()));
            }
        }
        turn.sent = true;
        actions.sendCallOut(call, limit);
    }

    @Override public void clientGone(Rpc rpc) {
        Turn turn = (Turn) rpc.stageState;
        step(turn, Input.GONE);
        if (turn.seen) { // the Router knows of no other
            next.clientGone(rpc);
        }
    }

    @Override public String explain(Rpc rpc) {
        return ((Turn) rpc.stageState).seen ? next.explain(rpc) : "at the door, " + why;
    }

    @Override public void deadlineShortened(Rpc rpc) {
        Turn turn = (Turn) rpc.stageState;
        if (turn.state == State.WAITING) { // guards what waits against a stop that comes before its turn
            offWheel(turn);
            turn.until = Math.min(turn.until, turn.arrived + (rpc.deadline - turn.arrived) / 2 - spokeWidth);
            onWheel(turn);
        } else if (turn.seen) {
            next.deadlineShortened(rpc);
        }
    }

    @Override public void pushBack(Rpc rpc, long after) {
        why = Reason.MEMBERS;
        Turn turn = (Turn) rpc.stageState;
        tallies.get(turn.tenant).pushedBack[Reason.MEMBERS.ordinal()]++;
        step(turn, Input.AWAY);
        actions.pushBack(rpc, turn.ways == null ? after : members(turn, after));
    }

    @Override public void abort(Rpc rpc) {
        step((Turn) rpc.stageState, Input.GONE);
        actions.abort(rpc);
    }

    @Override public void endBatch() {
        do {
            freed = false;
            for (int i = 0; i < all.size() && flows.waiting() > 0; i++) {
                Ways w = all.get(i);
                while (w.room.has()) {
                    Turn next = flows.next(w.lane);
                    if (next == null) {
                        break;
                    }
                    step(next, Input.NEXT);
                }
            }
            next.endBatch();
        } while (freed && flows.waiting() > 0);
        long at = flows.waiting() > 0 ? Math.min(now + spokeWidth, routerAt) : routerAt;
        if (at < alarmAt) {
            alarmAt = at;
            actions.scheduleWakeUp(Math.max(tick, at - now));
        }
    }

    @Override public void scheduleWakeUp(long delay) {
        routerAt = Math.min(routerAt, now + delay);
    }

    // ---- Conditions and effects of the table ----

    /** Nobody waits there and there is room: all that is asked without pressure. */
    private boolean roomy(Turn turn) {
        if (!turn.ways.room.has()) {
            turn.ways.room.tell(Room.Input.BURST, now, usual(turn.ways));
        }
        boolean roomy = turn.ways.room.has() && turn.lane.length() == 0 && turn.lane.kept.isEmpty();
        turn.kept = (turn.ways.room.pressed() || promises.live(now)) && told(turn);
        return roomy;
    }

    private boolean asTold(Turn turn) {
        turn.kept = turn.kept && now + spokeWidth <= turn.until && makePlace(turn);
        return turn.kept;
    }

    /** Whether the client comes when it was told to; asked once, since a promise is kept once. */
    private boolean told(Turn turn) {
        prepare(turn);
        Promises.Calendar calendar = turn.ways.calendar;
        marks |= turn.rpc.retry;
        // where further tries are marked, one that is not can't be the one that was told
        boolean may = turn.rpc.retry || !marks;
        boolean told = may && (calendar.redeem(turn.key, now)
                || before != hasher && calendar.redeem(key(before, turn.rpc), now));
        if (told) {
            tallies.get(turn.tenant).asTold++;
        } else if (calendar.early(turn.key, now)) {
            tallies.get(turn.tenant).early++; // it keeps its promise and is one more of its client's
        }
        return told;
    }

    private boolean inTime(Turn turn) {
        why = Reason.NO_TIME;
        return now + Math.max(expected(turn), spokeWidth) <= turn.until && makePlace(turn);
    }

    /** Who it is, what it costs, until when it can wait: asked only under pressure. */
    private void prepare(Turn turn) {
        Method m = turn.rpc.method;
        turn.key = key(hasher, turn.rpc);
        turn.cost = Math.max(1, cost(m).quantile(0.25, brisk / 16));
        turn.worth = m.utility() / turn.cost;
        long half = (turn.rpc.deadline - turn.arrived) / 2 - spokeWidth;
        long soft = m.lateUtilityShare() > 0 ? half : m.softDeadline() - usual(turn.ways);
        turn.until = turn.arrived + Math.min(soft, half);
        heaviest.add(known(turn.rpc), turn.rpc, turn.cost);
    }

    /** A key that stays the same under all seeds, to count by. */
    private long known(Rpc rpc) { return key(first, rpc) + tenant(rpc); }

    /** How long it would wait: its own client's turns, or all that is before it where that is less. */
    private long expected(Turn turn) {
        Ways w = turn.ways;
        Flows.Lane lane = turn.lane;
        double rate = w.workRate(usual(w), turn.cost);
        double part = lane.part(turn.tenant, weight[turn.tenant]);
        long mine = flows.queued(lane, turn.tenant, turn.key);
        int others = lane.flows(turn.tenant) + (mine == 0 ? 1 : 0);
        double own = (double) (mine + turn.cost) * others / part; // each of its turns is one of all the others'
        double pace = flows.pace(lane, turn.tenant, turn.key, now, brisk / 4);
        double seen = pace > 0 ? (mine + turn.cost) / pace * 1e9 : 0; // what others leave is less than its turns
        return (long) Math.max(seen, Math.min(own, lane.queued()) / rate * 1e9);
    }

    /** Where all places are taken, one of the longest flow met gives its own up, unless this one's is as long. */
    private boolean makePlace(Turn turn) {
        if (!flows.full()) {
            return true;
        }
        why = Reason.FULL;
        Turn last = flows.victim(chance());
        if (last == null || last.lane == turn.lane && last.key == turn.key && last.tenant == turn.tenant
                || length(last) <= flows.length(turn.lane, turn.tenant, turn.key) + 1) {
            return false;
        }
        step(last, Input.CROWDED);
        return true;
    }

    private int length(Turn turn) {
        return flows.length(turn.lane, turn.tenant, turn.key);
    }

    private void keep(Turn turn) { queue(turn); }

    private void queue(Turn turn) {
        turn.ways.held();
        turn.ways.busyAt = now;
        tallies.get(turn.tenant).waited++;
        flows.add(turn.lane, turn, now);
        if (flows.waiting() == 1) {
            wheelAt = now / spokeWidth; // it has not turned while nobody waited
        }
        onWheel(turn);
    }

    private void pass(Turn turn) {
        turn.inside = now;
        turn.seen = true;
        next.rpcArrived(turn.rpc);
    }

    private void letIn(Turn turn) {
        offWheel(turn);
        tallies.get(turn.tenant).letIn++;
        turn.ways.room.in();
        turn.rpc.retry &= !turn.kept; // what was told to come is no stray retry
        pass(turn);
    }

    private void turnAway(Turn turn) {
        tallies.get(turn.tenant).pushedBack[why.ordinal()]++;
        turn.ways.held();
        turn.ways.busyAt = now;
        heaviest.pushedBack(known(turn.rpc));
        actions.pushBack(turn.rpc, comeBack(turn));
    }

    /** It can no longer be answered in time. */
    private void tooLate(Turn turn) {
        why = Reason.LATE;
        drop(turn);
        turnAway(turn);
    }

    /** Another needs its place more. */
    private void giveWay(Turn turn) {
        why = Reason.FULL;
        drop(turn);
        turnAway(turn);
    }

    private void drop(Turn turn) {
        offWheel(turn);
        flows.remove(turn);
    }

    private void leave(Turn turn) {
        if (turn.ways != null) {
            turn.ways.room.out();
            freed = true;
        }
    }

    private void answered(Turn turn) {
        leave(turn);
        Ways w = turn.ways;
        if (w == null) {
            return;
        }
        long took = now - turn.inside;
        Method m = turn.rpc.method;
        if (sampled(turn)) {
            w.took.add(took);
        }
        w.okAt = now;
        if (turn.kept && now - turn.arrived <= m.softDeadline()) {
            tallies.get(turn.tenant).keptInTime++;
        }
        if (!w.room.pressed() && !turn.held) {
            return; // without pressure there is nothing to learn
        }
        w.served(cost(m).quantile(0.25, brisk / 16));
        long hold = w.hold.mean(0);
        if (hold > brisk / 32) {
            w.room.tell(Room.Input.SLOW, now, usual(w));
        } else if (hold <= brisk / 64) {
            w.room.tell(Room.Input.WELL, now, usual(w));
        }
    }

    /**
     * Turned away inside: for want of room, as far as can be seen from here, where its data may be of any age and
     * answers come. What lags or has no primary is no matter of room.
     */
    private void away(Turn turn) {
        leave(turn);
        Ways w = turn.ways;
        if (w == null) {
            return;
        }
        w.held();
        if (plain(turn.rpc) && now - brisk <= w.okAt) {
            w.room.tell(Room.Input.AWAY, now, Math.max(usual(w), brisk / 4)); // so long it holds what was let in
        }
    }

    // ---- Times, costs, clients ----

    /** What one that the Router turned away is told: its time while there is no pressure, else the calendar's. */
    private long members(Turn turn, long after) {
        if (turn.ways.room.pressed()) {
            return comeBack(turn);
        }
        return after <= 0 ? after : turn.ways.calendar.note(key(hasher, turn.rpc), now, after);
    }

    /** When the client is to come: when what it has waiting will have gone far enough for one more to be in time. */
    private long comeBack(Turn turn) {
        if (longest <= 0 || turn.ways == null) {
            return 0;
        }
        if (turn.cost == 0) {
            prepare(turn);
        }
        Ways w = turn.ways;
        long room = turn.rpc.method.softDeadline() / 2;
        long wait = Math.max(0, expected(turn) - room);
        return w.calendar.tell(turn.key, now, wait, w.rate(usual(w)) / 2);
    }

    private long usual(Ways w) { return w.took.mean(brisk / 4); }

    private Latency cost(Method m) {
        return costs.computeIfAbsent(m, x -> new Latency(Math.max(1, brisk / 256)));
    }

    private long key(Hasher64 by, Rpc rpc) {
        String who = rpc.clientId != null ? rpc.clientId : rpc.tenant;
        return who == null ? 0 : by.hashCharsToLong(who);
    }

    /**
     * The seed by which clients are told apart changes: guards a client that happens to share a key with another, and
     * against one that found out how to. What waits moves to its new key in its order.
     */
    private void reseed() {
        seedAt = now;
        before = hasher;
        hasher = Hashing.komihash5_0(chance() << 32 | chance());
        if (flows.waiting() == 0) {
            return;
        }
        List<Turn> waiting = new ArrayList<>();
        for (Turn spoke : wheel) {
            for (Turn t = spoke; t != null; t = t.later) {
                waiting.add(t);
            }
        }
        waiting.sort(java.util.Comparator.comparingLong((Turn t) -> t.arrived).thenComparingInt(t -> t.place));
        waiting.forEach(flows::remove);
        for (Turn t : waiting) {
            t.key = key(hasher, t.rpc);
            flows.add(t.lane, t, now);
        }
    }

    private long chance() {
        crc.reset();
        crc.update(words.putLong(0, settings.seed()).putLong(8, counter++).rewind());
        return crc.getValue();
    }

    // ---- The wheel: each waits until its moment, told within one spoke ----

    private void onWheel(Turn turn) {
        long spokes = Math.max(1, Math.min(wheel.length - 1, (turn.until - now) / spokeWidth));
        turn.spoke = (int) ((now / spokeWidth + spokes) % wheel.length);
        turn.later = wheel[turn.spoke];
        if (turn.later != null) {
            turn.later.sooner = turn;
        }
        wheel[turn.spoke] = turn;
    }

    private void offWheel(Turn turn) {
        if (turn.spoke < 0) {
            return;
        }
        if (turn.sooner == null) {
            wheel[turn.spoke] = turn.later;
        } else {
            turn.sooner.later = turn.later;
        }
        if (turn.later != null) {
            turn.later.sooner = turn.sooner;
        }
        turn.later = turn.sooner = null;
        turn.spoke = -1;
    }

    private void turnWheel() {
        long here = now / spokeWidth;
        long from = Math.max(wheelAt + 1, here - wheel.length + 1);
        for (long s = from; s <= here && flows.waiting() > 0; s++) {
            while (wheel[(int) (s % wheel.length)] != null) {
                step(wheel[(int) (s % wheel.length)], Input.LATE);
            }
        }
        wheelAt = here;
    }

    // ---- What is shown ----

    @Override public void addCounters(Map<String, Long> counts) {
        for (Tally t : tallies) {
            counts.merge("fair.waited", t.waited, Long::sum);
            counts.merge("fair.early", t.early, Long::sum);
            counts.merge("fair.astold", t.asTold, Long::sum);
            for (Reason r : Reason.values()) {
                counts.merge("fair.back." + r.name().toLowerCase(Locale.ROOT), t.pushedBack[r.ordinal()], Long::sum);
            }
        }
        for (Ways w : all) {
            counts.merge("fair.pressed", w.room.begun(), Long::sum);
        }
        super.addCounters(counts);
    }

    /** clients: the heaviest under pressure; tenants: what became of their RPCs; ways: room and rate. */
    @Override public List<String[]> statisticsTable(String what) {
        List<String[]> rows = new ArrayList<>();
        switch (what) {
            case "clients" -> {
                rows.add(new String[] {"client", "work_ms", "error_ms", "pushed_back"});
                rows.addAll(heaviest.rows());
            }
            case "tenants" -> {
                rows.add(new String[] {"tenant", "weight", "taken", "waited", "let_in", "early", "as_told",
                    "as_told_in_time", "back_no_time", "back_full", "back_late", "back_members"});
                for (int i = 0; i < weight.length; i++) {
                    Tally t = tallies.get(i);
                    rows.add(new String[] {t.name, Double.toString(weight[i]), "" + t.in, "" + t.waited,
                        "" + t.letIn, "" + t.early, "" + t.asTold, "" + t.keptInTime, "" + t.pushedBack[0],
                        "" + t.pushedBack[1], "" + t.pushedBack[2], "" + t.pushedBack[3]});
                }
            }
            case "ways" -> {
                rows.add(new String[] {"way", "pressed", "room", "inside", "waiting", "per_second", "usual_ms"});
                for (Ways w : all) {
                    rows.add(new String[] {"" + w.lane.index, "" + w.room.pressed(),
                        w.room.pressed() ? "" + (int) w.room.limit() : "", "" + w.room.inside(),
                        "" + (w.lane.length() + w.lane.kept.size()), "" + (long) w.rate(usual(w)),
                        "" + usual(w) / 1_000_000});
                }
            }
            default -> {
                return super.statisticsTable(what);
            }
        }
        return rows;
    }
}
