package reedquay.route;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.*;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.zip.CRC32;
import reedquay.core.*;
import reedquay.core.Method.RetrySafety;
import reedquay.core.Method.Consistency;

/**
 * All decisions of one gateway. A front makes one Router an instance, calls begin, inputs, then end for each
 * batch, and carries out the Effects called meanwhile. In this order: the table of an RPC's life, the state,
 * the inputs, the table's conditions and effects, the draw with the estimate, the guards, health.
 */
public final class Router implements RoutingEngine {
    enum State { NEW, HELD, OUT, ENDED }

    enum Input { ARRIVE, WAKE, EXPIRE, READY, SLOW, OK, FAILED, DUE, LEFT }

    private record Row(State state, Input input, BiPredicate<Router, Job> when, State next,
            BiConsumer<Router, Job> effect) { }

    private static final BiPredicate<Router, Job> ALWAYS = (r, j) -> true;
    private static final BiPredicate<Router, Job> UNKNOWN = (r, j) -> j.group == null || j.rpc.method == null;
    private static final BiPredicate<Router, Job> NEXT_MAY_GO = (r, j) -> r.mayGoOn(j) && r.findTarget(j);
    private static final BiPredicate<Router, Job> STILL_OUT = (r, j) -> j.out > 0;
    private static final BiConsumer<Router, Job> NOTHING = (r, j) -> { };
    private static final BiConsumer<Router, Job> GO = (r, j) -> r.effects.proceed(j.ready);
    private static final BiConsumer<Router, Job> DROP = (r, j) -> r.effects.cancel(j.ready);

    /** The life of an RPC: the first row whose state, input and condition hold is taken. */
    private static final Row[] TABLE = {
        new Row(State.NEW, Input.ARRIVE, UNKNOWN, State.ENDED, Router::giveUp),
        new Row(State.NEW, Input.ARRIVE, Router::givesWay, State.ENDED, Router::giveUp),
        new Row(State.NEW, Input.ARRIVE, Router::findTarget, State.OUT, Router::send),
        new Row(State.NEW, Input.ARRIVE, ALWAYS, State.HELD, Router::hold),
        new Row(State.HELD, Input.WAKE, Router::findTarget, State.OUT, Router::send),
        new Row(State.HELD, Input.EXPIRE, Router::findUnfit, State.OUT, Router::send),
        new Row(State.HELD, Input.EXPIRE, ALWAYS, State.ENDED, Router::giveUp),
        new Row(State.HELD, Input.DUE, ALWAYS, State.ENDED, Router::giveUp),
        new Row(State.HELD, Input.LEFT, ALWAYS, State.ENDED, NOTHING),
        new Row(State.OUT, Input.READY, Router::stillFits, State.OUT, GO),
        new Row(State.OUT, Input.READY, ALWAYS, State.OUT, DROP),
        new Row(State.ENDED, Input.READY, ALWAYS, State.ENDED, DROP),
        new Row(State.OUT, Input.SLOW, Router::silentAndMayMove, State.OUT, Router::move),
        new Row(State.OUT, Input.SLOW, ALWAYS, State.OUT, Router::watch),
        new Row(State.OUT, Input.OK, ALWAYS, State.ENDED, Router::cancelAll),
        new Row(State.OUT, Input.FAILED, STILL_OUT, State.OUT, NOTHING),
        new Row(State.OUT, Input.FAILED, NEXT_MAY_GO, State.OUT, Router::send),
        new Row(State.OUT, Input.FAILED, Router::mayGoOn, State.HELD, Router::hold),
        new Row(State.OUT, Input.FAILED, ALWAYS, State.ENDED, Router::giveUp),
        new Row(State.OUT, Input.DUE, ALWAYS, State.ENDED, Router::giveUp),
        new Row(State.OUT, Input.LEFT, ALWAYS, State.ENDED, Router::cancelAll),
    };

    private void step(Job job, Input input) {
        for (Row row : TABLE) {
            if (row.state == job.state && row.input == input && row.when.test(this, job)) {
                job.state = row.next;
                row.effect.accept(this, job);
                return;
            }
        }
    }

    // ---- State ----

    /** An RPC in hand. */
    private static final class Job {
        final Rpc rpc;
        final Group group;
        final long arrived;
        final boolean read; // one that a replica may serve
        State state = State.NEW;
        Node target;
        CallOut ready; // its connection has come up
        int out, further, misses;
        long mayHaveRunAt = NEVER; // when the first call-out that may have run was sent

        Job(Rpc rpc, Group group, long arrived) {
            this.rpc = rpc;
            this.group = group;
            this.arrived = arrived;
            Consistency need = rpc.method == null ? Consistency.WRITE : rpc.method.consistency();
            this.read = need != Consistency.WRITE && need != Consistency.FRESH;
        }

        boolean at(Node node) { return rpc.callOuts.stream().anyMatch(c -> c.member == node.member); }
    }

    private static final class Group {
        final int number;
        final List<Node> nodes = new ArrayList<>();
        final ArrayDeque<Job> held = new ArrayDeque<>();
        Node primary; // the last known one
        long pressedUntil = LONG_AGO, pressedSince; // an RPC had to be held a short while ago
        boolean news; // held RPCs are worth another look

        Group(int number) { this.number = number; }
    }

    /** A member as this gateway sees it. */
    private static final class Node {
        final Member member;
        Group group = new Group(-1); // until listed
        final Latency latency, strain, recent; // the last two: each as if its soft deadline were the shortest
        final ArrayDeque<Long> sends = new ArrayDeque<>(); // within the last cold window
        boolean open, listedPrimary; // open: listed and not draining; nor gone, where that binds
        Role role = Role.UNKNOWN;
        long position = LoadReport.NO_POSITION, roleAt = LONG_AGO, startedAt = LONG_AGO, probedAt = LONG_AGO;
        long heardAt = LONG_AGO; // when a position was last told
        double busy, load; // smoothed, as reported: its cores' work, calls in flight there from all gateways
        int inFlight, allowance, strikes; // of a cold member, by window; times turned away in a row
        double room = ROOM; // how many call-outs may be in flight
        double due; // while cold: call-outs that its budget has left
        long drawnAt = LONG_AGO, restUntil = LONG_AGO, cutAt = LONG_AGO;
        boolean aside, reported, probing, gone; // reported: the log says that it is aside
        boolean asked; // something was sent there
        boolean mayTry; // while aside: a probe came back, one RPC may be risked
        long reportedAt, quietSince, trialWait, trialAt;

        Node(Member member, long unit) {
            this.member = member;
            member.routingState = this;
            this.latency = new Latency(unit);
            this.strain = new Latency(unit);
            this.recent = new Latency(unit, RECENT);
        }

        void unsay() {
            role = Role.UNKNOWN;
            asked = false;
        }
    }

    /** What a tenant may still send at its full worth. */
    private static final class Share {
        double perSecond = Double.MAX_VALUE, most = Double.MAX_VALUE, left; // most: what may pile up
        long at;
    }

    private record Wake(long at, long order, Job job, Node node, Input input) { }

    private static final long NEVER = Long.MAX_VALUE, LONG_AGO = Long.MIN_VALUE;
    private static final int FURTHER = 2; // the users' standing practice
    private static final int LAST_TRIAL = 32; // the longest wait between trials, in shortest soft deadlines
    private static final int ROOM = 2; // call-outs in flight at a member before anything is known of it
    private static final int RECENT = 4; // answers after which earlier ones count half: others strain it too
    private static final int SCAN = 32; // held RPCs looked at for one group in one batch

    private final RoutingActions effects;
    private final Settings.Capabilities allowed;
    private final long seed, tick, floor, pad, probeAge, coldFor, coldWindow, comeBack;
    private final long brisk; // the shortest soft deadline
    private final boolean probesTell, membersCheck, remembered;
    private final boolean goneOpen; // guards against lists that call live members gone: answers tell better
    private final double coldShare, coldMultiple, dearest; // dearest: the greatest utility of a read
    private final int gateways;
    private final CRC32 crc = new CRC32();
    private final ByteBuffer words = ByteBuffer.allocate(2 * Long.BYTES).order(ByteOrder.LITTLE_ENDIAN);
    private final TreeMap<Integer, Group> groups = new TreeMap<>();
    private final TreeMap<String, Long> writes = new TreeMap<>(); // remembered tokens
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Wake> wakes =
            new PriorityQueue<>(Comparator.comparingLong(Wake::at).thenComparingLong(Wake::order));
    private final Map<String, Share> shares = new HashMap<>(); // never walked through
    private final Share unlimited = new Share();
    private final Map<Method, SuccessRate> parts = new IdentityHashMap<>(); // first tries, and RPCs served in time
    private final Latency all;
    private long counter, order, now, windowStart, alarmAt = NEVER;
    private int oks, leads, seen; // answers in this cold window, those of primaries; windows smoothed over
    private double usual, typical, usualLead, typicalLead; // one's answers a window, smoothed, and their most

    public Router(Settings settings, RoutingActions effects) {
        this.effects = effects;
        allowed = settings.capabilities();
        seed = settings.seed();
        tick = settings.tick();
        gateways = settings.gatewayCount();
        long second = 1_000_000_000;
        for (Settings.Tenant t : settings.tenants()) {
            Share share = shares.computeIfAbsent(t.name(), n -> new Share());
            share.perSecond = t.quotaPerSecond() / gateways;
            share.most = t.quotaPerSecond() / Math.sqrt(gateways); // chance weighs more in a small part
        }
        brisk = settings.methods().stream().mapToLong(Method::softDeadline).filter(d -> d > 0).min()
                .orElse(second);
        long tightest = settings.methods().stream().filter(m -> m.consistency() == Consistency.BOUNDED)
                .mapToLong(Method::maxAge).min().orElse(2 * second);
        probeAge = tightest / 2;
        dearest = settings.methods().stream().mapToDouble(m -> m.consistency() == Consistency.BOUNDED
                || m.consistency() == Consistency.SESSION ? m.utility() : 0).reduce(Double.MIN_NORMAL, Math::max);
        floor = 2 * tick;
        pad = 2 * tick;
        probesTell = allowed.probes() && settings.positionSources().inProbes();
        membersCheck = settings.positionSources().membersRejectStaleReads();
        goneOpen = settings.rules().goneMembersStayUsable();
        remembered = settings.positionSources().gatewayRemembersTokens();
        coldFor = settings.rules().coldDuration();
        coldWindow = Math.max(settings.rules().coldWindow(), tick);
        coldShare = settings.rules().coldShare();
        coldMultiple = settings.rules().coldCapacityMultiple();
        comeBack = allowed.retryAfter() ? Math.min(brisk / 4, allowed.maxRetryAfter()) : 0;
        all = new Latency(brisk / 16);
        if (allowed.memberListOnRequest()) {
            effects.requestMemberList();
        }
    }

    // ---- Inputs ----

    @Override public void beginBatch(long time) {
        now = time;
        if (now - windowStart >= coldWindow) {
            double windows = (now - windowStart) / coldWindow;
            seen = windowStart == 0 ? 0 : Math.min(seen + 1, 4);
            windowStart = now;
            usual += (oks / windows / Math.max(1, nodes.size()) - usual) / Math.max(1, seen);
            usualLead += (leads / windows / Math.max(1, groups.size()) - usualLead) / Math.max(1, seen);
            typical = Math.max(typical, usual);
            typicalLead = Math.max(typicalLead, usualLead);
            oks = leads = 0;
        }
    }

    @Override public void endBatch() {
        while (!wakes.isEmpty() && wakes.peek().at <= now) {
            Wake wake = wakes.poll();
            if (wake.job != null) {
                step(wake.job, wake.input);
            } else if (wake.node == null) {
                effects.requestMemberList();
            } else {
                wake.node.group.news = true;
                tryAgain(wake.node);
            }
        }
        groups.values().forEach(this::wakeHeld);
        // guards against an alarm that rings early by a coarser clock: one due within a tick is set again
        if (!wakes.isEmpty() && (wakes.peek().at < alarmAt || alarmAt <= now + tick)) {
            alarmAt = Math.max(wakes.peek().at, now + tick);
            effects.scheduleWakeUp(alarmAt - now);
        }
    }

    @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) {
        if (kind == ListedMember.ListKind.REFUSED) {
            later(now + brisk, null, null, Input.WAKE);
            return;
        }
        if (kind != ListedMember.ListKind.CHANGES) {
            nodes.forEach(n -> n.gone = true); // what a full list leaves out is gone
            nodes.forEach(n -> n.open &= goneOpen);
        }
        for (ListedMember entry : entries) {
            Node node = (Node) entry.member().routingState;
            Group group = groups.computeIfAbsent(entry.group(), Group::new);
            if (node == null) {
                nodes.add(node = new Node(entry.member(), brisk / 16));
            }
            if (node.group != group) { // new, or moved: what was learnt is of other data
                node.group.nodes.remove(node);
                node.group = group;
                group.nodes.add(node);
                node.position = LoadReport.NO_POSITION;
                node.unsay();
            }
            boolean up = entry.phase() == ListedMember.Phase.UP, opened = !node.open && up;
            node.gone = entry.phase() == ListedMember.Phase.GONE;
            node.open = up || goneOpen && node.open && node.gone;
            node.listedPrimary = entry.primary();
            long start = entry.startedAt() == 0 ? LONG_AGO : entry.startedAt();
            if (start > node.startedAt) { // a new process is judged anew
                node.startedAt = start;
                node.drawnAt = LONG_AGO;
                node.due = 0;
                node.aside = node.asked = false;
            }
            node.aside &= !opened;
            if (opened && probesTell) {
                probe(node);
            }
            node.group.news = true;
        }
        groups.values().forEach(this::choosePrimary);
        nodes.removeIf(this::leaves);
    }

    /** Guards against keeping members that are gone; rule 4 still counts what was answered of late. */
    private boolean leaves(Node node) {
        boolean mayLive = goneOpen && node.open && !(node.aside && node.trialWait >= LAST_TRIAL * brisk);
        boolean late = !node.sends.isEmpty() && now - 3 * coldWindow < node.sends.peekLast();
        boolean busy = late || node.inFlight > 0 || node.probing || node == node.group.primary;
        if (!node.gone || mayLive || busy) {
            return false;
        }
        node.open = false;
        effects.forgetMember(node.member);
        return node.group.nodes.remove(node);
    }

    @Override public void rpcArrived(Rpc rpc) {
        Job job = new Job(rpc, groups.get(rpc.group), now);
        rpc.routingState = job;
        if (!UNKNOWN.test(this, job) && (!parts.containsKey(rpc.method) || !rpc.retry)) {
            parts.computeIfAbsent(rpc.method, m -> new SuccessRate()).recordAttempt();
        }
        step(job, Input.ARRIVE);
        if (job.state != State.ENDED) {
            later(rpc.deadline - tick, job, null, Input.DUE);
        }
    }

    @Override public void connectionReady(CallOut call) {
        Job job = (Job) call.rpc.routingState;
        job.ready = call;
        step(job, Input.READY); // which alone reads it
    }

    @Override public void callOutEnded(CallOut call, Outcome outcome, long took, boolean ended, long position,
            Role role, LoadReport report) {
        Node node = (Node) call.member.routingState;
        Job job = (Job) call.rpc.routingState;
        Method method = call.rpc.method;
        node.inFlight--;
        job.out--;
        learn(node, position, role, now);
        learn(node, report.position(), report.role(), report.position());
        health(node, outcome, took, method);
        if (outcome == Outcome.OK && ended && now - job.arrived < method.softDeadline()) {
            parts.get(method).recordSuccess();
        }
        if (remembered && outcome == Outcome.OK && method.consistency() == Consistency.WRITE && call.rpc.session != null) {
            writes.merge(call.rpc.session, now, Math::max); // its commit was no later
        }
        job.mayHaveRunAt = Math.min(job.mayHaveRunAt, outcome.provesNeverRan ? NEVER : call.sentAt);
        job.misses += outcome == Outcome.MISS ? 1 : 0;
        node.group.news = true;
        step(job, ended ? Input.OK : Input.FAILED);
    }

    @Override public void probeEnded(Member member, Outcome outcome, long took, LoadReport report) {
        Node node = (Node) member.routingState;
        node.probing = false;
        if (report.inFlight() >= 0 || report.queueLength() >= 0) {
            double part = now - 4 * brisk > node.reportedAt ? 1 : 0.25; // an old one counts no more
            node.busy += (report.cpuUtilization() - node.busy) * part;
            node.load += (Math.max(report.inFlight(), report.queueLength()) - node.load) * part;
            node.reportedAt = now;
        }
        learn(node, report.position(), report.role(), report.position());
        node.group.news = true;
        node.mayTry = node.aside && outcome == Outcome.OK;
    }

    @Override public void clientGone(Rpc rpc) { step((Job) rpc.routingState, Input.LEFT); }

    @Override public String explain(Rpc rpc) {
        Job job = (Job) rpc.routingState;
        if (UNKNOWN.test(this, job)) {
            return "no such group or method";
        }
        Group group = job.group;
        StringBuilder line = new StringBuilder(now < group.pressedUntil ? "pressed" : "calm");
        line.append(group.primary == null ? ", no primary known" : "");
        for (Node n : group.nodes) { // how old its position is, and was when it was told
            line.append("; ").append(n.member.id).append(n == group.primary ? " primary " : " ");
            line.append(n.role).append(!n.open ? " closed" : n.aside ? " aside" : now < n.restUntil ? " rests"
                    : n.inFlight >= n.room ? " full" : cold(n) ? " cold" : " usable");
            line.append(" strain ").append(n.recent.mean(brisk * 3 / 8) / 1_000_000);
            line.append(n.heardAt == LONG_AGO ? " unheard" : " position " + (now - n.position) / 1_000_000
                    + " ms old, told at " + (n.heardAt - n.position) / 1_000_000);
        }
        return line.toString();
    }

    @Override public void deadlineShortened(Rpc rpc) {
        later(rpc.deadline - tick, (Job) rpc.routingState, null, Input.DUE);
    }

    /** Newest evidence counts, by the time at which it was true. */
    private void learn(Node node, long position, Role role, long at) {
        if (position != LoadReport.NO_POSITION) {
            node.position = Math.max(node.position, Math.min(position, now));
            node.heardAt = now;
        }
        if (role != Role.UNKNOWN && at >= node.roleAt) {
            node.role = role;
            node.roleAt = at;
            choosePrimary(node.group);
        }
    }

    private void choosePrimary(Group group) {
        Node best = null;
        for (Node n : group.nodes) { // the list is late or old: it counts where nothing else is known
            boolean listed = n.listedPrimary && n.role == Role.UNKNOWN && n.open;
            boolean led = n.role == Role.PRIMARY && n.open; // one that drains has handed over, or is about to
            if ((listed || led) && (best == null || n.roleAt > best.roleAt)) {
                best = n;
            }
        }
        if (best != null && group.primary != null && best != group.primary) {
            effects.log("group " + group.number + ": primary is now " + best.member.id);
        }
        group.primary = best;
    }

    // ---- Conditions and effects of the table ----

    /** Under pressure, a read gives way that is worth little: a retry, or one over its tenant's share. */
    private boolean givesWay(Job job) {
        return (overShare(job) | job.rpc.retry) && now < job.group.pressedUntil && job.read; // all count
    }

    /** Whether the tenant has used up its share's part here. */
    private boolean overShare(Job job) {
        Share share = shares.getOrDefault(job.rpc.tenant, unlimited);
        double left = Math.min(share.most, share.left + (now - share.at) / 1e9 * share.perSecond);
        share.left = left < 1 || job.rpc.retry ? left : left - 1;
        share.at = now;
        return left < 1;
    }

    /** Rule 2, the cap, and the standing practice on further call-outs. */
    private boolean mayGoOn(Job job) {
        boolean further = job.further < (now < job.group.pressedUntil && job.misses == 0 ? 0 : FURTHER);
        return further && job.rpc.callOuts.size() < allowed.maxCallOuts() && now < latest(job) && mayRepeat(job);
    }

    /** Guards against call-outs that no client waits for: they would make an abort of a pushback. */
    private long latest(Job job) {
        return job.rpc.deadline - 2 * tick - all.mean(brisk / 4);
    }

    /** Rule 2: whether another call-out could do no harm, whatever became of the earlier ones. */
    private boolean mayRepeat(Job job) {
        long first = mayHaveRunAt(job);
        return first == NEVER || switch (job.rpc.method.retrySafety()) {
            case IDEMPOTENT -> true;
            case TOKENED -> now + tick < first + job.rpc.method.deduplicationWindow();
            case NON_IDEMPOTENT -> false;
        };
    }

    /** When the first call-out went that may have run, or is still out; NEVER for none. */
    private long mayHaveRunAt(Job job) {
        return job.rpc.callOuts.stream().filter(c -> !c.ended && !c.awaitingConnection).mapToLong(c -> c.sentAt)
                .reduce(job.mayHaveRunAt, Math::min);
    }

    private boolean silentAndMayMove(Job job) {
        Node last = (Node) job.rpc.callOuts.get(job.rpc.callOuts.size() - 1).member.routingState;
        if (last.inFlight > 0 && now - last.quietSince >= silence()) {
            putAside(last); // it has been given work and has told nothing since, whatever the cause
        }
        return last.aside && (allowed.hedging() || allowed.cancel()) && NEXT_MAY_GO.test(this, job);
    }

    /** A second call-out beside the silent one, or in its place once it is cancelled. */
    private void move(Job job) {
        if (allowed.hedging()) {
            send(job);
        } else {
            cancelAll(job);
        }
    }

    /** Guards the rules over a wait for a connection: age, drain, start and window are judged once more. */
    private boolean stillFits(Job job) {
        Node node = (Node) job.ready.member.routingState;
        long bound = membersCheck ? NEVER : bound(job);
        boolean fit = node == job.group.primary || (job.read ? bound == NEVER || estimate(node) < bound
                : job.group.primary == null && job.rpc.method.consistency() == Consistency.WRITE); // a fresh read needs one
        node.sends.removeLastOccurrence(job.ready.sentAt);
        boolean warm = warmEnough(node);
        node.sends.addLast(job.ready.sentAt = now);
        return fit && node.open && node.group == job.group && warm && mayRepeat(job);
    }

    private void send(Job job) {
        Node node = job.target;
        CallOut call = new CallOut(job.rpc, node.member, now);
        job.further += job.rpc.callOuts.isEmpty() || job.misses > 0 ? 0 : 1;
        job.rpc.callOuts.add(call);
        job.out++;
        node.quietSince = node.inFlight++ == 0 ? now : node.quietSince;
        node.mayTry = false;
        node.asked = true;
        node.due--;
        node.sends.addLast(now);
        effects.sendCallOut(call, 0);
        watch(job);
    }

    private void watch(Job job) { later(now + silence(), job, null, Input.SLOW); }

    private void cancelAll(Job job) {
        job.rpc.callOuts.stream().filter(c -> !c.ended && allowed.cancel()).forEach(effects::cancel);
    }

    /** Waits for a member: a read for a quarter of its soft deadline, others while an answer has worth. */
    private void hold(Job job) {
        Method m = job.rpc.method;
        long end = job.read ? job.arrived + m.softDeadline() / 4
                : job.arrived + (m.lateUtilityShare() > 0 ? m.deadline() : m.softDeadline()) - 2 * tick;
        if (job.mayHaveRunAt != NEVER && m.retrySafety() == RetrySafety.TOKENED) {
            end = Math.min(end, job.mayHaveRunAt + m.deduplicationWindow() - tick);
        }
        boolean blind = job.read && unheard(job);
        boolean inVain = !job.read ? job.group.primary != null && job.group.primary.restUntil > end
                : blind && !probesTell && job.group.nodes.stream().allMatch(n -> n.inFlight == 0);
        end = inVain ? now : end; // guards against a late pushback: nothing will come, or be sent, in time
        if (blind) { // guards against a gateway that hears little and takes that for a group without room
            job.group.held.addLast(job);
            later(Math.min(end, latest(job)), job, null, Input.EXPIRE);
            return;
        }
        if (now >= job.group.pressedUntil) {
            job.group.pressedSince = now;
        } else if (now - 8 * brisk >= job.group.pressedSince) { // a line only where it lasts
            effects.log("group " + job.group.number + ": RPCs have to be held, under pressure for long");
            job.group.pressedSince = NEVER;
        }
        job.group.pressedUntil = now + brisk;
        job.group.held.addLast(job);
        later(Math.min(end, latest(job)), job, null, Input.EXPIRE);
    }

    /** The final answer, at once: a pushback where trying again can do no harm, else an abort. */
    private void giveUp(Job job) {
        Method m = job.rpc.method; // unknown only where nothing was sent
        if (mayHaveRunAt(job) == NEVER || m.retrySafety() == RetrySafety.IDEMPOTENT
                || m.retrySafety() == RetrySafety.TOKENED && m.deduplicationScope() == Method.DeduplicationScope.ALL) {
            effects.pushBack(job.rpc, comeBack);
        } else {
            effects.abort(job.rpc);
        }
        cancelAll(job);
    }

    private void wakeHeld(Group group) {
        for (int i = group.news ? Math.min(group.held.size(), SCAN) : 0; i > 0; i--) {
            Job job = group.held.pollFirst();
            step(job, Input.WAKE);
            if (job.state == State.HELD) {
                group.held.addLast(job);
            }
        }
        group.news = false;
    }

    private void later(long at, Job job, Node node, Input input) {
        wakes.add(new Wake(Math.max(at, now + 1), order++, job, node, input));
    }

    // ---- The draw ----

    private boolean findTarget(Job job) {
        job.target = job.read ? replica(job, bound(job)) : lead(job, job.rpc.method.consistency());
        return job.target != null;
    }

    /** Rather than given up a read is sent to one that lags, where members check, or lent to the primary. */
    private boolean findUnfit(Job job) {
        job.target = membersCheck && job.read ? replica(job, NEVER) : lends(job) ? job.group.primary : null;
        return job.target != null;
    }

    /**
     * Where only answers tell positions and too few come here, replicas that keep pace cannot be known: a
     * read then goes to a primary that said so itself. Replicas that were heard to lag never lead here.
     */
    private boolean lends(Job job) {
        Node primary = job.group.primary;
        if (!job.read || probesTell || primary == null || !usable(primary) || !unheard(job)) {
            return false;
        }
        if (cold(primary) && primary.due < 1) { // guards the writes, which have nowhere else to go
            return false;
        }
        double least = parts.keySet().stream()
                .filter(m -> m.consistency() == Consistency.BOUNDED || m.consistency() == Consistency.SESSION)
                .mapToDouble(m -> parts.get(m).rate()).min().orElse(1); // that one comes first
        double fair = Math.pow(least / parts.get(job.rpc.method).rate(), 2);
        double limit = brisk * 5 / 16.0 * (job.rpc.retry ? 0.5 : 1) // a retry is late already, or soon
                * Math.max(0.5, fair); // one that nothing helps must not keep the others out
        return chance() < Math.pow(limit / primary.recent.mean(brisk * 3 / 8), 4)
                * (1 + job.rpc.method.utility() / dearest) / 2; // the cheapest too
    }

    /** Some replica may keep pace, by what was last told here; only the time since then makes it too old. */
    private boolean unheard(Job job) {
        long bound = bound(job);
        return job.group.nodes.stream().anyMatch(n -> n != job.group.primary && usable(n)
                && now - probeAge >= n.heardAt // a probe would be due
                && (n.heardAt == LONG_AGO || n.heardAt - n.position + pad < bound));
    }

    /** The last known primary; while none is known, writes try members in turn, one round or half the cap. */
    private Node lead(Job job, Consistency need) {
        Node primary = job.group.primary;
        if (primary != null) {
            return usable(primary) || primary.reported && trial(primary) ? primary : null;
        }
        int most = Math.min(job.group.nodes.size(), allowed.maxCallOuts() / 2);
        boolean wait = need == Consistency.FRESH || job.misses >= most;
        Node best = null;
        for (Node n : job.group.nodes) {
            boolean surely = n.role == Role.REPLICA && now - n.roleAt < allowed.connectTimeout();
            boolean may = !wait && usable(n) && !surely && !job.at(n);
            best = may && (best == null || n.roleAt < best.roleAt) ? n : best;
        }
        return best;
    }

    /** One replica whose estimate is under the bound, drawn by weight; one of old position is probed. */
    private Node replica(Job job, long bound) {
        boolean any = bound == NEVER, replicaLeft = false;
        Node primary = job.group.primary, pick = null, ask = null;
        double fitting = 0, asking = 0;
        for (Node n : job.group.nodes) {
            if (n != primary && trial(n) && (any || estimate(n) < bound)) {
                return n;
            }
            replicaLeft |= n != primary && alive(n);
            boolean unasked = any && !probesTell && !n.asked && n.role == Role.UNKNOWN; // what else tells it
            if (n == primary && !unasked || !usable(n)) {
                continue;
            }
            long usually = n.latency.mean(all.mean(brisk / 4));
            double weight = 1 / (usually * (Math.max(n.load, n.inFlight) + 1.0));
            boolean old = now - probeAge >= n.position && now - probeGap(n) >= n.probedAt;
            if ((!any || crowded(n)) && probesTell && old && chance() * (asking += weight) < weight) {
                ask = n;
            }
            boolean again = job.at(n) && job.group.nodes.size() > 2;
            boolean inTime = now + usually < job.rpc.deadline; // guards against work that no client waits for
            boolean fit = (any || estimate(n) < bound) && !crowded(n) && !again && inTime;
            if (fit && chance() * (fitting += weight) < weight) {
                pick = n;
            }
        }
        if (ask != null) {
            probe(ask);
        }
        if (!replicaLeft && primary != null && trial(primary) && (any || primary.role == Role.PRIMARY)) {
            return primary; // else only writes try one that is aside: they have nowhere else to go
        }
        // where no replica is left at all, the primary is the only reader; a list alone may name an old one
        boolean leads = primary != null && usable(primary) && (any || primary.role == Role.PRIMARY);
        return !replicaLeft && leads ? primary : pick;
    }

    /** The lag that the data may have now; NEVER where any will do. */
    private long bound(Job job) {
        Consistency need = job.rpc.method.consistency();
        if (need == Consistency.BOUNDED) {
            return job.rpc.method.maxAge();
        }
        if (need == Consistency.SESSION && remembered) {
            Long write = job.rpc.session == null ? null : writes.get(job.rpc.session);
            return write == null ? NEVER : now - write;
        }
        return need == Consistency.SESSION && job.rpc.sessionTokenAge > 0 ? now - job.arrived + job.rpc.sessionTokenAge : NEVER;
    }

    /** Lag by the clock since the last known position, floored and padded; the window is one reading. */
    private long estimate(Node node) {
        return node.position == LoadReport.NO_POSITION ? NEVER : Math.max(now - node.position, floor) + pad;
    }

    /** Guards against probes in vain, as of late reports: the older the position found last, the rarer. */
    private long probeGap(Node node) {
        long found = node.position == LoadReport.NO_POSITION ? 0 : node.probedAt - node.position;
        return Math.max(probeAge, Math.min(found, 8 * brisk)) / 2;
    }

    private double chance() {
        crc.reset();
        crc.update(words.putLong(0, seed).putLong(8, counter++).rewind());
        return crc.getValue() / 4294967296.0;
    }

    // ---- Guards ----

    private boolean cold(Node node) { return node.startedAt != LONG_AGO && now - node.startedAt < coldFor; }

    private static boolean alive(Node node) { return node.open && !node.aside; }

    /** A silent member comes back by being tried a little, by a write where no read does it for long. */
    private boolean trial(Node n) { return n.aside && n.mayTry && n.open && warmEnough(n); }

    private boolean usable(Node node) {
        return alive(node) && now >= node.restUntil && node.inFlight < node.room && warmEnough(node);
    }

    /** Guards against queues that others fill: a member whose last answer here is old goes by its report. */
    private boolean crowded(Node node) {
        return node.busy > 3.0 / 4 && now - 4 * brisk > node.quietSince;
    }

    /**
     * Rule 4: in every window a cold member gets its share of what primaries, the busiest, are seen to answer
     * here at best, or three quarters of the stated multiple of what members are; what is sent is no measure,
     * under overload it is more. What was not used is added to the next window's, up to three quarters of the
     * multiple. Below one RPC it is a chance drawn anew in each window, of a half at the most where nothing
     * else is known: one each from many gateways at once would be too many.
     */
    private boolean warmEnough(Node node) {
        node.sends.removeIf(at -> at <= now - coldWindow);
        if (!cold(node)) {
            return true;
        }
        if (node.drawnAt != windowStart) {
            node.drawnAt = windowStart;
            double share = coldShare + (1 - coldShare) * Math.max(0, now - node.startedAt) / coldFor;
            double multiple = coldMultiple * 3 / 4, most = multiple * share * Math.max(typical, typicalLead);
            double budget = Math.max(1.0 / gateways, share * Math.max(multiple * typical, typicalLead));
            node.due = Math.min(node.due + budget, Math.max(most, 0.5));
            node.allowance = node.due >= 1 ? (int) node.due : chance() < node.due ? 1 : 0;
        }
        return node.sends.size() < node.allowance;
    }

    // ---- Health ----

    /** How long a member that has work may say nothing. */
    private long silence() { return Math.max(all.quantile(0.95, brisk), brisk / 4); }

    private void health(Node node, Outcome outcome, long took, Method method) {
        long wanted = method.softDeadline() > 0 ? method.softDeadline() : brisk;
        long part = (long) ((double) took * brisk / wanted);
        switch (outcome) {
            case OK -> {
                oks++;
                leads += node == node.group.primary ? 1 : 0;
                node.strikes = 0;
                node.latency.add(took);
                all.add(took);
                node.strain.add(part);
                node.recent.add(part);
                boolean queue = (node.inFlight + 1) * gateways > 2 * ROOM; // guards what is slow alone
                if (queue && node.strain.mean(brisk / 4) > brisk * 5 / 16) {
                    cut(node, 7);
                } else if (node.room >= 1 && node.inFlight + 1 >= node.room) {
                    node.room += 1 / node.room; // room that is not used is not known to be there
                }
                answers(node);
            }
            case ERROR, FULL, RESET -> { // a reset alone is no proof that the process died
                cut(node, 4);
                rest(node);
                answers(node);
            }
            case MISS, SPOILT, STALE -> answers(node); // the way there failed, not the member
            case NO_CONNECTION -> putAside(node);
        }
        boolean unended = outcome == Outcome.CANCELLED || outcome == Outcome.TIMED_OUT;
        if (unended && took > node.latency.mean(all.mean(brisk / 4))) { // guards against learning of the fast
            node.latency.add(took);
            node.recent.add(part);
        }
        if (unended || outcome == Outcome.OK) {
            space(node, part, !unended);
        }
    }

    /**
     * Guards against a member that all gateways keep at work with one call-out each: where its answers come
     * too late to be of use, this gateway's is there for a part of the time, down to its part of ROOM twice.
     */
    private void space(Node node, long part, boolean answered) {
        if (part > brisk * 3 / 4 && gateways > 2 * ROOM) {
            node.room = Math.max(2.0 * ROOM / gateways, Math.min(node.room, 1) / 2);
        } else if (answered && node.room < 1) {
            node.room = Math.min(1, node.room * 4);
        }
        if (node.room < 1) {
            long wait = (long) (node.latency.mean(brisk / 4) * (1 / node.room - 1));
            node.restUntil = Math.max(node.restUntil, now + Math.min(wait, LAST_TRIAL * brisk));
            later(node.restUntil, null, node, Input.OK);
        }
    }

    /** Guards against queues: the room at a member shrinks by eighths, once for each usual latency. */
    private void cut(Node node, int eighths) {
        if (now - node.latency.mean(brisk / 4) >= node.cutAt) {
            node.cutAt = now;
            double cut = Math.min(node.room, node.inFlight + 1) * eighths / 8;
            node.room = Math.min(node.room, Math.max(1, cut));
        }
    }

    /** Guards against a member that turns work away or fails fast: looking idle it would draw ever more. */
    private void rest(Node node) {
        long wait = node.latency.mean(brisk / 4) << Math.min(node.strikes++, 6);
        node.restUntil = now + Math.min(wait, LAST_TRIAL * brisk);
        later(node.restUntil, null, node, Input.OK);
    }

    private void answers(Node node) {
        node.quietSince = now;
        if (node.reported) {
            effects.log(node.member.id + " answers again");
        }
        node.room = node.aside ? Math.min(node.room, ROOM) : node.room; // it may be cold, unlisted
        node.aside = node.reported = false;
    }

    private void putAside(Node node) {
        if (!node.aside) {
            node.aside = true;
            node.mayTry = false;
            awaitTrial(node, silence());
        }
    }

    /** Guards against trials that cost more than the member is worth: each gateway tries it for itself. */
    private void awaitTrial(Node node, long wait) {
        node.trialWait = wait;
        node.trialAt = now + wait;
        later(node.trialAt, null, node, Input.WAKE);
    }

    private void tryAgain(Node node) {
        if (node.aside && node.open && now >= node.trialAt) {
            if (!node.reported && node.trialWait >= 4 * brisk) { // a line only where it lasts
                effects.log(node.member.id + " is put aside");
                effects.closeIdleConnections(node.member); // its machine may come back and reset them
                node.reported = true;
            }
            node.mayTry |= !allowed.probes();
            probe(node);
            awaitTrial(node, Math.min(node.trialWait * 2, LAST_TRIAL * brisk));
        }
    }

    private void probe(Node node) {
        if (allowed.probes() && !node.probing && node.open) {
            node.probing = true;
            node.probedAt = now;
            effects.probe(node.member);
        }
    }
}
