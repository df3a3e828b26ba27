package reedquay.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import reedquay.core.CallOut;
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.ListedMember;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.LoadReport;
import reedquay.core.LoadReportParser;
import reedquay.core.Role;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.SettingsReader;
import reedquay.core.Stage;
import reedquay.pg.Messages;

/** Turns what happens on sockets into the decisions' inputs, and their effects into writes; decides nothing. */
final class Dispatcher implements RoutingActions {
    private static final System.Logger LOG = System.getLogger("reedquay");
    private static final int KEPT_COMPLAINTS = 64;

    final MonotonicClock clock;
    final Limits limits;
    final Counters counters;
    final LoadReportParser reports;
    private final Trace trace = new Trace();
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Settings settings;
    private final RoutingEngine decider;
    private final Map<String, Method> methods = new HashMap<>();
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Set<String> complained = new HashSet<>();
    private final Map<Long, Rpc> open = new LinkedHashMap<>(); // the RPCs in hand by their ids
    private final ArrayDeque<Consumer<RoutingEngine>> inputs = new ArrayDeque<>();
    private final ArrayDeque<Runnable> runAfterBatch = new ArrayDeque<>();
    private final ArrayDeque<MemberConnection> settling = new ArrayDeque<>(); // those that have answered, in order
    private boolean inBatch;
    private boolean goingOn; // what came afterwards is being run
    private ScheduledFuture<?> alarm;
    private long answerAllBy = Long.MAX_VALUE;
    private int inFlight;
    private int outstandingProbes;

    Dispatcher(EventLoop loop, Bootstrap bootstrap, MonotonicClock clock, Limits limits, Counters counters,
            SettingsReader reader, long seed, BiFunction<Settings, RoutingActions, RoutingEngine> maker) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.clock = clock;
        this.limits = limits;
        this.counters = counters;
        settings = reader.readSettings(seed);
        reports = reader.loadReportParser(0); // Unix time, whatever zero the settings name
        settings.methods().forEach(m -> methods.put(m.name(), m));
        decider = maker.apply(settings, this);
        counters.gauge("rpc.inhand", () -> inFlight);
        counters.gauge("member.known", pools::size);
    }

    // ---- Inputs ----

    /** All counters now, those of stages before the decisions too. */
    Map<String, Long> allCounters() {
        Map<String, Long> all = counters.snapshot();
        if (decider instanceof Stage stage) {
            stage.addCounters(all);
        }
        return all;
    }

    /** A table that a stage before the decisions has; null for none. */
    List<String[]> showTable(String what) {
        return decider instanceof Stage stage ? stage.statisticsTable(what) : null;
    }

    /** One input is one batch; what an effect brings about at once is the next batch's. */
    void submitInput(Consumer<RoutingEngine> next) {
        inputs.addLast(next);
        if (inBatch) {
            return;
        }
        inBatch = true;
        try {
            while (!inputs.isEmpty()) {
                runBatch(inputs.pollFirst());
            }
        } finally {
            inBatch = false;
        }
        if (goingOn) {
            return; // guards the stack: whoever sends many RPCs ahead would nest one call into the next
        }
        goingOn = true;
        try {
            while (!runAfterBatch.isEmpty()) {
                try {
                    runAfterBatch.pollFirst().run();
                } catch (RuntimeException e) { // one session's fault must not take the others with it
                    counters.add("broken.session");
                    logOnce("a session could not go on: " + e);
                }
            }
        } finally {
            goingOn = false;
        }
    }

    private void runBatch(Consumer<RoutingEngine> input) {
        try {
            decider.beginBatch(clock.now());
            input.accept(decider);
            decider.endBatch();
        } catch (RuntimeException e) { // one RPC's fault must not take the others with it
            counters.add("broken.decision");
            logOnce("a decision failed: " + e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : ""));
        }
    }

    /** Runs it behind the batch that is under way or is about to begin: an answer is told to the decisions first. */
    void runAfterBatch(Runnable then) {
        runAfterBatch.addLast(then);
    }

    /** Whether an RPC of that id has no final answer yet. */
    boolean isInFlight(long id) {
        return open.containsKey(id);
    }

    Method method(String name) {
        return methods.get(name);
    }

    /** Guards against the kill that ends a stop: nothing is in hand then. */
    void answerAllBy(long time) {
        answerAllBy = time;
        for (Rpc rpc : List.copyOf(open.values())) {
            if (rpc.deadline > time) { // its client would wait for longer than this gateway lives
                rpc.deadline = time;
                submitInput(d -> d.deadlineShortened(rpc));
            }
        }
    }

    /** An RPC was read whole. */
    Rpc acceptRpc(ClientSession session, Statement statement, ClientIdentifier callers) {
        long now = clock.now();
        long sees = statement.minPositionMillis == 0 ? 0 : reports.position(statement.minPositionMillis, false);
        long tokenAge = statement.minPositionMillis == 0 ? 0 : Math.max(1, now - sees); // 0 would stand for none
        Method method = methods.get(statement.method); // a client waits for no longer than its deadline
        Rpc rpc = new Rpc(statement.id, statement.group, statement.session,
                Math.min(now + Math.min(statement.waitMillis * 1_000_000, method.deadline()), answerAllBy),
                statement.retry, tokenAge, statement.tenant, method);
        rpc.frontState = session;
        rpc.clientId = callers == null ? null : callers.identify(session, statement);
        inFlight++;
        open.put(rpc.id, rpc);
        counters.add("rpc.taken");
        trace.rpcAccepted(rpc, now);
        return rpc;
    }

    void clientDisconnected(Rpc rpc) {
        if (!rpc.ended) {
            rpc.ended = true;
            inFlight--;
            open.remove(rpc.id);
            counters.add("rpc.clientgone");
            trace.rpcEnded(rpc, "left by its client", "");
            submitInput(d -> d.clientGone(rpc));
        }
    }

    void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) {
        trace.membersListed(entries);
        submitInput(d -> d.membersListed(kind, entries));
    }

    Pool pool(String id) {
        return pools.computeIfAbsent(id, i -> {
            Pool pool = new Pool(this, new Member(i), bootstrap);
            pool.member.frontState = pool;
            return pool;
        });
    }

    /** A member has answered a send whole. */
    void responseReceived(MemberRequest send, MemberConnection.Response answer) {
        Outcome outcome = answer.sqlState == null ? Outcome.OK : switch (answer.sqlState) {
            case "25006", "72000" -> Outcome.MISS;
            case "53300" -> Outcome.FULL;
            default -> Outcome.ERROR;
        };
        LoadReport report = MemberConnection.parseLoadReport(this, answer, send.callOut == null);
        boolean commit = outcome == Outcome.OK && send.callOut != null
                && send.callOut.rpc.method.consistency() == Method.Consistency.WRITE;
        long position = answer.hasPosition ? reports.position(answer.positionMillis, commit) : LoadReport.NO_POSITION;
        if (send.callOut == null && report == LoadReport.NONE) {
            report = new LoadReport(position, answer.role, -1, -1, -1);
        }
        completeRequest(send, outcome, answer, position, answer.role, report);
        answer.release();
    }

    /** A send ended without an answer. */
    void requestFailed(MemberRequest send, Outcome outcome) {
        completeRequest(send, outcome, null, LoadReport.NO_POSITION, Role.UNKNOWN, LoadReport.NONE);
    }

    private void completeRequest(MemberRequest send, Outcome outcome, MemberConnection.Response answer, long position, Role role,
            LoadReport report) {
        counters.check(!send.completed, "one outcome for each send");
        if (send.completed) {
            return;
        }
        send.completed = true;
        CallOut callOut = send.callOut;
        if (callOut == null) {
            counters.add("probe." + outcome);
            outstandingProbes--;
            long took = clock.now() - send.startedAt;
            submitInput(d -> d.probeEnded(send.pool.member, outcome, took, report));
            return;
        }
        counters.add("callout." + outcome);
        trace.callOutEnded(callOut, outcome, clock.now() - callOut.sentAt);
        callOut.ended = true;
        callOut.awaitingConnection = false;
        Rpc rpc = callOut.rpc;
        if (outcome == Outcome.OK && !rpc.ended) {
            recordFinalAnswer(rpc, "rpc.ok", false);
            ((ClientSession) rpc.frontState).sendResult(answer.frames);
        }
        long took = clock.now() - callOut.sentAt;
        boolean ended = rpc.ended;
        submitInput(d -> d.callOutEnded(callOut, outcome, took, ended, position, role, report));
    }

    private void recordFinalAnswer(Rpc rpc, String how, boolean decided) {
        counters.check(!rpc.ended, "one final answer for each RPC");
        rpc.ended = true;
        inFlight--;
        open.remove(rpc.id);
        counters.add(how);
        trace.rpcEnded(rpc, how, decided && trace.enabled ? decider.explain(rpc) : "");
    }

    // ---- Effects ----

    @Override public void sendCallOut(CallOut callOut, long limit) {
        Pool pool = (Pool) callOut.member.frontState;
        long until = limit > 0 ? Math.min(callOut.rpc.deadline, callOut.sentAt + limit) : callOut.rpc.deadline;
        MemberRequest send = new MemberRequest(callOut, pool, callOut.sentAt, until);
        callOut.frontState = send;
        counters.add("callout");
        callOut.awaitingConnection = true;
        pool.submit(send);
    }

    @Override public void proceed(CallOut callOut) {
        MemberRequest send = (MemberRequest) callOut.frontState;
        if (!send.completed) {
            send.connection.send(send);
        }
    }

    @Override public void cancel(CallOut callOut) {
        MemberRequest send = (MemberRequest) callOut.frontState;
        if (send.completed) {
            return;
        }
        MemberConnection connection = send.connection;
        if (connection != null && connection.state == MemberConnection.State.BUSY) {
            counters.add("member.closed.cancel");
            connection.abandon();
            requestFailed(send, Outcome.CANCELLED);
        } else {
            send.pool.withdraw(send);
            requestFailed(send, Outcome.NEVER_SENT);
        }
    }

    @Override public void pushBack(Rpc rpc, long after) {
        recordFinalAnswer(rpc, "rpc.pushedback", true);
        // rounded up: a client that came earlier would find nothing new
        String millis = after > 0 ? Long.toString((after + 999_999) / 1_000_000) : null;
        ((ClientSession) rpc.frontState).sendError("53300", "no room for this statement now; trying again is harmless", millis);
    }

    @Override public void abort(Rpc rpc) {
        recordFinalAnswer(rpc, "rpc.aborted", true);
        ((ClientSession) rpc.frontState).sendError("58000", "the statement failed and may have run", null);
    }

    @Override public void probe(Member member) {
        outstandingProbes++;
        counters.add("probe");
        long now = clock.now();
        ((Pool) member.frontState).submit(new MemberRequest(null, (Pool) member.frontState, now,
                now + settings.capabilities().connectTimeout()));
    }

    @Override public void closeIdleConnections(Member member) {
        ((Pool) member.frontState).closeAllIdle("aside");
    }

    @Override public void forgetMember(Member member) {
        pools.remove(member.id);
        ((Pool) member.frontState).closeAll();
    }

    @Override public void scheduleWakeUp(long delay) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        long at = clock.now() + delay;
        alarm = loop.schedule(() -> {
            alarm = null;
            counters.recordTimerDelay(clock.now() - at);
            submitInput(d -> { });
        }, delay, TimeUnit.NANOSECONDS);
    }

    @Override public void requestMemberList() { } // the watch on discovery is always on

    @Override public void log(String line) {
        LOG.log(System.Logger.Level.INFO, line);
    }

    void logOnce(String line) {
        if (complained.size() < KEPT_COMPLAINTS && complained.add(line)) {
            LOG.log(System.Logger.Level.WARNING, line);
        }
    }

    // ---- What connections ask for ----

    /** The connection is told a tick later that it has settled: one timer for all, whatever is under way. */
    void startSettling(MemberConnection connection) {
        connection.idleSince = clock.now() + settings.tick();
        settling.addLast(connection);
        if (settling.size() == 1) {
            loop.schedule(this::releaseSettled, settings.tick(), TimeUnit.NANOSECONDS);
        }
    }

    private void releaseSettled() {
        long now = clock.now();
        while (!settling.isEmpty() && settling.peekFirst().idleSince <= now) {
            settling.pollFirst().settlingEnded();
        }
        if (!settling.isEmpty()) {
            loop.schedule(this::releaseSettled, settling.peekFirst().idleSince - now, TimeUnit.NANOSECONDS);
        }
    }

    /** Guards against reading stale data: a position well ahead of the clock would stand for a fresh one. */
    boolean isPlausiblePosition(long millis) {
        boolean is = millis >= 0 && millis - clock.now() / 1_000_000 <= settings.capabilities().connectTimeout() / 1_000_000;
        counters.add("member.position.unreadable", is ? 0 : 1);
        return is;
    }

    ByteBuf buildQuery(MemberRequest send, ByteBufAllocator allocator) {
        trace.callOutSent(send.callOut);
        Rpc rpc = send.callOut.rpc;
        long left = Math.max(1, (send.deadline - clock.now()) / 1_000_000);
        return ((ClientSession) rpc.frontState).statement().queryForMember(allocator, left);
    }

    ByteBuf buildProbeQuery(ByteBufAllocator allocator) {
        boolean tells = settings.positionSources().inProbes();
        return Messages.query(allocator.buffer(32), tells ? "SHOW server_load" : "SELECT 1");
    }

    /** Makes room for a connection by closing one that has been idle; false where there is none. */
    boolean closeAnyIdleConnection() {
        return pools.values().stream().anyMatch(p -> p.closeOldestIdle(Long.MAX_VALUE, "room"));
    }

    void sweep(long idleFor) {
        long now = clock.now();
        new ArrayList<>(pools.values()).forEach(p -> p.sweep(now, settings.capabilities().connectTimeout(), idleFor));
    }

    int inFlight() {
        return inFlight;
    }

    int outstandingProbes() {
        return outstandingProbes;
    }

    Settings settings() {
        return settings;
    }

    void close() {
        if (alarm != null) {
            alarm.cancel(false);
        }
        new ArrayList<>(pools.values()).forEach(Pool::closeAll);
    }
}
