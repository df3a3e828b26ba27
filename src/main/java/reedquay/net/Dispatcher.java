package reedquay.net;

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
import reedquay.core.ListedMember;
import reedquay.core.LoadReport;
import reedquay.core.LoadReportParser;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.Role;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.SettingsReader;
import reedquay.core.Stage;
import reedquay.memory.BufferReservations;
import reedquay.pg.Messages;
import reedquay.route.PossiblyRunIds;
import reedquay.sessions.OpenRequestIds;
import reedquay.time.UnixTimeEstimate;

/**
 * Connects the sockets with the routing engine: passes socket events to the engine as inputs, and carries out the
 * actions that the engine asks for. It takes no routing decision of its own. Used on the event loop alone; times are
 * in nanoseconds unless a name says otherwise.
 */
final class Dispatcher implements RoutingActions {
    private static final System.Logger LOG = System.getLogger("reedquay");
    private static final int MAX_DISTINCT_WARNINGS = 64;
    private static final int MAX_REMEMBERED_IDS = 8_192;
    private static final long REMEMBERED_ID_NANOS = 60_000_000_000L;
    /** How long after its deadline an RPC that the engine has not answered is answered as failed. */
    private static final long OVERDUE_NANOS = 100_000_000;

    final MonotonicClock clock;
    final Limits limits;
    final Counters counters;
    final LoadReportParser reports;
    private final Trace trace = new Trace();
    private final UnixTimeEstimate unixTime;
    private final EventLoop loop;
    private final LoopMonitor loopMonitor;
    /** From the last poll of the sockets to the close of a connection by the gateway's own will. */
    private long longestCloseSincePolled;
    private final Connector connector;
    private final Settings settings;
    private final RoutingEngine engine;
    private final Map<String, Method> methods = new HashMap<>();
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    /** The ids of statements that were read and have no final answer yet. */
    final OpenRequestIds<ClientSession> openIds = new OpenRequestIds<>();
    private final Set<String> loggedWarnings = new HashSet<>();
    private final Map<Long, Rpc> inFlightById = new LinkedHashMap<>(); // RPCs without a final answer, by id
    private final ArrayDeque<Consumer<RoutingEngine>> pendingInputs = new ArrayDeque<>();
    private final ArrayDeque<Runnable> afterBatchTasks = new ArrayDeque<>();
    /** RPCs found to have lost their client within a batch; until the next one the engine may still answer them. */
    private final Set<Rpc> departed = new HashSet<>();
    private final PossiblyRunIds possiblyRunIds = new PossiblyRunIds(MAX_REMEMBERED_IDS, REMEMBERED_ID_NANOS);
    private final ArrayDeque<MemberConnection> settling = new ArrayDeque<>(); // oldest response first
    private boolean inBatch;
    private boolean batchFailed; // since the last sweep: timers that were due may not have been handled
    private boolean runningAfterBatchTasks;
    private ScheduledFuture<?> wakeUpTimer;
    private long answerDeadline = Long.MAX_VALUE;
    private int inFlight;
    private int outstandingProbes;

    Dispatcher(EventLoop loop, LoopMonitor loopMonitor, Connector connector, MonotonicClock clock, Limits limits,
            Counters counters, SettingsReader reader, long seed,
            BiFunction<Settings, RoutingActions, RoutingEngine> engineFactory) {
        this.loop = loop;
        this.loopMonitor = loopMonitor;
        this.connector = connector;
        this.clock = clock;
        this.limits = limits;
        this.counters = counters;
        settings = reader.readSettings(seed);
        reports = reader.loadReportParser(0); // positions are Unix time, whatever epoch the settings name
        settings.methods().forEach(m -> methods.put(m.name(), m));
        unixTime = new UnixTimeEstimate(settings.capabilities().connectTimeout());
        engine = engineFactory.apply(settings, this);
        counters.gauge("rpc.inhand", () -> inFlight);
        counters.gauge("rpc.open", openIds::size);
        counters.gauge("client.close.sincepoll.longest.us", () -> longestCloseSincePolled / 1_000);
        counters.gauge("member.known", pools::size);
    }

    // ---- Inputs ----

    /** The current value of every counter, including those of the engine's stages. */
    Map<String, Long> allCounters() {
        Map<String, Long> counts = counters.snapshot();
        if (engine instanceof Stage stage) {
            stage.addCounters(counts);
        }
        return counts;
    }

    /** The statistics table of that name that a stage before the engine provides; null where there is none. */
    List<String[]> showTable(String name) {
        return engine instanceof Stage stage ? stage.statisticsTable(name) : null;
    }

    /**
     * Runs an input as a batch of its own. An input that an action submits while a batch is running becomes the next
     * batch. The tasks given to runAfterBatch run after the last batch.
     */
    void submitInput(Consumer<RoutingEngine> input) {
        loopMonitor.workBegins();
        pendingInputs.addLast(input);
        if (inBatch) {
            return;
        }
        inBatch = true;
        try {
            while (!pendingInputs.isEmpty()) {
                runBatch(pendingInputs.pollFirst());
            }
        } finally {
            inBatch = false;
        }
        if (runningAfterBatchTasks) {
            return; // prevents a stack overflow, which happens when each pipelined RPC nests one call deeper
        }
        runningAfterBatchTasks = true;
        try {
            while (!afterBatchTasks.isEmpty()) {
                try {
                    afterBatchTasks.pollFirst().run();
                } catch (Throwable e) { // a failure of one session must not affect the others
                    counters.add("broken.session");
                    logOnce("a client session failed to continue: " + e);
                }
            }
        } finally {
            runningAfterBatchTasks = false;
        }
    }

    private void runBatch(Consumer<RoutingEngine> input) {
        try {
            engine.beginBatch(clock.now());
            input.accept(engine);
            engine.endBatch();
        } catch (Throwable e) { // a failure on one RPC must not affect the others
            batchFailed = true;
            counters.add("broken.decision");
            logOnce("a routing decision failed: " + e + " at "
                    + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : ""));
        }
    }

    /** Notes that the event loop works, from which on this turn's length counts. */
    void workBegins() {
        loopMonitor.workBegins();
    }

    /** Runs a step of a periodic task; its failure is counted and logged, and affects no other step. */
    void runIsolated(Runnable step) {
        loopMonitor.workBegins();
        try {
            step.run();
        } catch (Throwable e) {
            counters.add("broken.step");
            logOnce("a step of a periodic task failed: " + e);
        }
    }

    /** Runs the task after the current or next batch, so that the engine is notified of an answer first. */
    void runAfterBatch(Runnable task) {
        afterBatchTasks.addLast(task);
    }

    /** Whether a statement of another session with that id is still without its final answer. */
    boolean isOpenElsewhere(long id, ClientSession session) {
        ClientSession owner = openIds.owner(id);
        Rpc rpc = inFlightById.get(id);
        ClientSession sender = rpc == null ? owner : (ClientSession) rpc.frontState;
        if (sender != null && sender != session && sender.presence() == ClientSession.Presence.LEFT) {
            sender.closeId(id); // the session itself learns of its end only after this turn of the event loop
            if (rpc != null) {
                counters.add("rpc.clientgone.unread");
                clientDisconnected(rpc);
            }
        }
        owner = openIds.owner(id);
        return owner != null && owner != session || inFlightById.containsKey(id);
    }

    /** Whether an earlier RPC of that id may have run, and running it again is not harmless. */
    boolean mayHaveRun(long id, Method method) {
        boolean mayHaveRun = method.retrySafety() != Method.RetrySafety.IDEMPOTENT
                && possiblyRunIds.contains(id, clock.now());
        counters.add("rpc.repeated", mayHaveRun ? 1 : 0);
        return mayHaveRun;
    }

    /** Remembers the id of an RPC that has ended, where it may have run and must not run again. */
    private void rememberIfPossiblyRun(Rpc rpc) {
        if (rpc.method.retrySafety() != Method.RetrySafety.IDEMPOTENT
                && rpc.callOuts.stream().anyMatch(callOut -> callOut.mayHaveRun)) {
            possiblyRunIds.add(rpc.id, clock.now());
        }
    }

    /** The method of that name; null where the settings have none. */
    Method method(String name) {
        return methods.get(name);
    }

    /**
     * Limits the deadline of each RPC, in flight or still to arrive, to the given time, so that at a shutdown every
     * RPC is answered before the process is killed.
     */
    void answerAllBy(long deadline) {
        answerDeadline = deadline;
        for (Rpc rpc : List.copyOf(inFlightById.values())) {
            if (rpc.deadline > deadline) { // its client would wait for longer than this process runs
                rpc.deadline = deadline;
                submitInput(engine -> engine.deadlineShortened(rpc));
            }
        }
    }

    /**
     * Registers an RPC whose message is complete; the caller submits it to the engine. waited: how long the message may
     * have waited to be read, by which its client's deadline is nearer.
     */
    Rpc acceptRpc(ClientSession session, Statement statement, long waited, ClientIdentifier identifier) {
        long now = clock.now();
        long minPosition = statement.minPositionMillis == 0 ? 0
                : unixTime.toLocal(reports.position(statement.minPositionMillis, false));
        long tokenAge = statement.minPositionMillis == 0 ? 0 : Math.max(1, now - minPosition); // 0 means no token
        Method method = methods.get(statement.method); // its deadline limits the time that the client says it will wait
        Rpc rpc = new Rpc(statement.id, statement.group, statement.session(),
                Math.min(now + Math.min(statement.waitMillis * 1_000_000, method.deadline()) - waited, answerDeadline),
                statement.retry, tokenAge, statement.tenant, method);
        rpc.frontState = session;
        rpc.clientId = identifier == null ? null : identifier.identify(session, statement);
        inFlight++;
        inFlightById.put(rpc.id, rpc);
        counters.add("rpc.taken");
        trace.rpcAccepted(rpc, now);
        return rpc;
    }

    /** Traces the end of a client's connection; rpc: the one in flight, null for none. */
    void sessionClosing(String connectionId, CloseReason reason, Rpc rpc) {
        long sincePolled = loopMonitor.sincePolled();
        longestCloseSincePolled = Math.max(longestCloseSincePolled, reason.requiresAllAnswered ? sincePolled : 0);
        trace.sessionClosing(connectionId, reason, rpc, sincePolled);
    }

    /** Answers an RPC as failed without asking the engine, which then cancels its call-outs. */
    void abortUnanswered(Rpc rpc) {
        if (!rpc.ended) {
            counters.add("rpc.unanswered");
            recordFinalAnswer(rpc, "rpc.aborted", false);
            sendAbort(rpc);
            submitInput(engine -> engine.clientGone(rpc));
        }
    }

    /** Ends an RPC whose client has disconnected; it gets no answer. */
    void clientDisconnected(Rpc rpc) {
        if (!rpc.ended) {
            rpc.ended = true;
            inFlight--;
            inFlightById.remove(rpc.id);
            rememberIfPossiblyRun(rpc);
            counters.add("rpc.clientgone");
            trace.rpcEnded(rpc, "left by its client", "");
            submitInput(engine -> engine.clientGone(rpc));
        }
    }

    void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) {
        trace.membersListed(entries);
        submitInput(engine -> engine.membersListed(kind, entries));
    }

    /** The pool of the member of that id, created when discovery first names it. */
    Pool pool(String id) {
        return pools.computeIfAbsent(id, memberId -> {
            Pool pool = new Pool(this, new Member(memberId), connector);
            pool.member.frontState = pool;
            return pool;
        });
    }

    /** Ends a request whose response is complete. */
    void responseReceived(MemberRequest request, MemberConnection.Response response) {
        Outcome outcome = response.sqlState == null ? Outcome.OK : switch (response.sqlState) {
            case "25006", "72000" -> Outcome.MISS;
            case "53300" -> Outcome.FULL;
            default -> Outcome.ERROR;
        };
        LoadReport report = withLocalPosition(
                MemberConnection.parseLoadReport(this, response, request.callOut == null));
        boolean commit = outcome == Outcome.OK && request.callOut != null
                && request.callOut.rpc.method.consistency() == Method.Consistency.WRITE;
        long position = response.hasPosition ? unixTime.toLocal(reports.position(response.positionMillis, commit))
                : LoadReport.NO_POSITION;
        if (request.callOut == null && report == LoadReport.NONE) {
            report = new LoadReport(position, response.role, -1, -1, -1);
        }
        completeRequest(request, outcome, response, position, response.role, report);
        response.release();
    }

    /** Ends a request that got no response. */
    void requestFailed(MemberRequest request, Outcome outcome) {
        completeRequest(request, outcome, null, LoadReport.NO_POSITION, Role.UNKNOWN, LoadReport.NONE);
    }

    private void completeRequest(MemberRequest request, Outcome outcome, MemberConnection.Response response,
            long position, Role role, LoadReport report) {
        counters.check(!request.completed, "one outcome for each send");
        if (request.completed) {
            return;
        }
        request.completed = true;
        CallOut callOut = request.callOut;
        if (callOut == null) {
            counters.add("probe." + outcome);
            outstandingProbes--;
            long took = clock.now() - request.startedAt;
            submitInput(engine -> engine.probeEnded(request.pool.member, outcome, took, report));
            return;
        }
        counters.add("callout." + outcome);
        trace.callOutEnded(callOut, outcome, clock.now() - callOut.sentAt);
        callOut.ended = true;
        callOut.mayHaveRun = !outcome.provesNeverRan;
        callOut.awaitingConnection = false;
        Rpc rpc = callOut.rpc;
        if (outcome == Outcome.OK && !rpc.ended) {
            recordFinalAnswer(rpc, "rpc.ok", false);
            ((ClientSession) rpc.frontState).sendResult(response.frames);
        }
        long took = clock.now() - callOut.sentAt;
        boolean ended = rpc.ended;
        submitInput(engine -> engine.callOutEnded(callOut, outcome, took, ended, position, role, report));
    }

    private void recordFinalAnswer(Rpc rpc, String counter, boolean byEngine) {
        counters.check(!rpc.ended, "one final answer for each RPC");
        rpc.ended = true;
        inFlight--;
        inFlightById.remove(rpc.id);
        rememberIfPossiblyRun(rpc);
        counters.add(counter);
        trace.rpcEnded(rpc, counter, byEngine && trace.enabled ? engine.explain(rpc) : "");
    }

    // ---- Actions of the routing engine ----

    @Override public void sendCallOut(CallOut callOut, long timeout) {
        Pool pool = (Pool) callOut.member.frontState;
        long deadline = timeout > 0 ? Math.min(callOut.rpc.deadline, callOut.sentAt + timeout) : callOut.rpc.deadline;
        MemberRequest request = new MemberRequest(callOut, pool, callOut.sentAt, deadline);
        callOut.frontState = request;
        counters.add("callout");
        callOut.awaitingConnection = true;
        if (endsForAbsence(callOut)) {
            requestFailed(request, Outcome.NEVER_SENT);
            return;
        }
        pool.submit(request);
    }

    @Override public void proceed(CallOut callOut) {
        MemberRequest request = (MemberRequest) callOut.frontState;
        if (request.completed) {
            return;
        }
        if (endsForAbsence(callOut)) {
            request.pool.withdraw(request);
            requestFailed(request, Outcome.NEVER_SENT);
            return;
        }
        request.connection.send(request);
    }

    /**
     * Whether a call-out must not begin, since its client has left or may have; the RPC ends then, unless another
     * call-out is in flight. Prevents call-outs for a client that has left, which happen when the engine's timers run
     * before the event loop has read that client's end, or that end stands behind more input than can be read.
     */
    private boolean endsForAbsence(CallOut callOut) {
        Rpc rpc = callOut.rpc;
        if (rpc.ended) {
            return true;
        }
        ClientSession session = (ClientSession) rpc.frontState;
        switch (session.presence()) {
            case CONNECTED -> {
                return false;
            }
            case LEFT -> {
                counters.add("rpc.clientgone.unread");
                clientDisconnected(rpc);
            }
            case UNKNOWN -> {
                counters.add(HeldBack.INPUT.counter());
                if (rpc.callOuts.stream().anyMatch(other -> other != callOut && !other.ended)) {
                    return true; // the one in flight may still answer it
                }
                refuseUnread(callOut, session);
            }
        }
        departed.add(rpc);
        submitInput(engine -> departed.remove(rpc)); // by then the engine has been told
        return true;
    }

    /** Ends an RPC whose client sends without end: it is pushed back if nothing of it can have run. */
    private void refuseUnread(CallOut callOut, ClientSession session) {
        Rpc rpc = callOut.rpc;
        if (rpc.callOuts.stream().allMatch(other -> other == callOut || !other.mayHaveRun)) {
            recordFinalAnswer(rpc, "rpc.pushedback", false);
            session.sendError("53300", "more follows this statement than can be read now; trying again is harmless",
                    retryAfterMillis(settings.standardRetryAfter()));
        } else {
            recordFinalAnswer(rpc, "rpc.aborted", false);
            sendAbort(rpc);
        }
        submitInput(engine -> engine.clientGone(rpc));
    }

    @Override public void cancel(CallOut callOut) {
        MemberRequest request = (MemberRequest) callOut.frontState;
        if (request.completed) {
            return;
        }
        MemberConnection connection = request.connection;
        if (connection != null && connection.state == MemberConnection.State.BUSY) {
            counters.add("member.closed.cancel");
            connection.abandon();
            requestFailed(request, Outcome.CANCELLED);
        } else {
            request.pool.withdraw(request);
            requestFailed(request, Outcome.NEVER_SENT);
        }
    }

    @Override public void pushBack(Rpc rpc, long retryAfter) {
        if (departed.contains(rpc)) {
            return;
        }
        recordFinalAnswer(rpc, "rpc.pushedback", true);
        ((ClientSession) rpc.frontState).sendError("53300", "no room for this statement now; trying again is harmless",
                retryAfterMillis(retryAfter));
    }

    /** The text for a retry-after in nanoseconds; null for 0, which is none. */
    static String retryAfterMillis(long retryAfter) {
        // rounded up, since a client that retries any earlier finds nothing changed
        return retryAfter > 0 ? Long.toString((retryAfter + 999_999) / 1_000_000) : null;
    }

    @Override public void abort(Rpc rpc) {
        if (departed.contains(rpc)) {
            return;
        }
        recordFinalAnswer(rpc, "rpc.aborted", true);
        sendAbort(rpc);
    }

    private static void sendAbort(Rpc rpc) {
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
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel(false);
        }
        long dueAt = clock.now() + delay;
        wakeUpTimer = loop.schedule(() -> {
            wakeUpTimer = null;
            counters.recordTimerDelay(clock.now() - dueAt);
            submitInput(engine -> { });
        }, delay, TimeUnit.NANOSECONDS);
    }

    @Override public void requestMemberList() { } // the watch on discovery is always open

    @Override public void log(String line) {
        log(System.Logger.Level.INFO, line);
    }

    /** Logs a line. A failure of logging is counted, and never affects what the line reports on. */
    private void log(System.Logger.Level level, String line) {
        try {
            LOG.log(level, line);
        } catch (Throwable e) {
            counters.add("log.failed");
        }
    }

    /** Logs a warning, unless the same line or too many different ones were logged before. */
    void logOnce(String line) {
        if (loggedWarnings.size() < MAX_DISTINCT_WARNINGS && loggedWarnings.add(line)) {
            log(System.Logger.Level.WARNING, line);
        }
    }

    // ---- Services for connections ----

    /**
     * Schedules the end of a connection's settling one tick from now. All connections share one timer, since their
     * settling ends in the order in which it started.
     */
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
            runIsolated(settling.pollFirst()::settlingElapsed);
        }
        if (!settling.isEmpty()) {
            loop.schedule(this::releaseSettled, settling.peekFirst().idleSince - now, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Whether a member's position, in Unix milliseconds, can be right. Prevents reads of stale data, which happen when
     * a position well ahead of the clock passes for fresh data; a position that fails is counted.
     */
    boolean isPlausiblePosition(long millis) {
        if (millis >= 0 && millis <= Long.MAX_VALUE / 1_000_000) {
            observePosition(reports.position(millis, false));
        }
        boolean plausible = millis >= 0 && millis - (clock.now() + unixTime.shift()) / 1_000_000
                <= settings.capabilities().connectTimeout() / 1_000_000;
        counters.add("member.position.unreadable", plausible ? 0 : 1);
        return plausible;
    }

    private void observePosition(long position) {
        if (unixTime.positionReported(position, clock.now(), clock.wallTime())) {
            counters.add("clock.steps");
            log("the wall clock was stepped, and the members' positions agree: Unix time is now "
                    + unixTime.shift() / 1_000_000 + " ms ahead of that at the start");
        }
    }

    /** The load report with its position, a Unix time, as a time of the local clock. */
    LoadReport withLocalPosition(LoadReport report) {
        if (report.position() == LoadReport.NO_POSITION) {
            return report;
        }
        observePosition(report.position());
        return new LoadReport(unixTime.toLocal(report.position()), report.role(), report.queueLength(),
                report.cpuUtilization(), report.inFlight());
    }

    /** A start time from a member list, a Unix time or 0 for long ago, as a time of the local clock. */
    long localStartTime(long startedAt) {
        return startedAt == 0 ? 0 : unixTime.toLocal(startedAt);
    }

    /** The Query message of a call-out, with the time that is left until its deadline. */
    ByteBuf buildQuery(MemberRequest request, ByteBufAllocator allocator) {
        trace.callOutSent(request.callOut);
        Rpc rpc = request.callOut.rpc;
        long remainingMillis = Math.max(1, (request.deadline - clock.now()) / 1_000_000);
        return ((ClientSession) rpc.frontState).statement().queryForMember(allocator, remainingMillis);
    }

    /** The Query message of a probe: it asks for a load report where the settings say that probes carry one. */
    ByteBuf buildProbeQuery(ByteBufAllocator allocator) {
        boolean readsPositions = settings.positionSources().inProbes();
        return Messages.query(allocator.buffer(32), readsPositions ? "SHOW server_load" : "SELECT 1");
    }

    /**
     * Accounts for the memory that an owner's incomplete message reserves, 0 for none. While all of them together
     * reserve too much, messages are rejected, this one or others.
     */
    void setUnfinishedInput(InputOwner owner, int reservedBytes) {
        reserve(limits.unfinishedInput, owner, reservedBytes, InputOwner::rejectUnfinishedInput);
    }

    /** The same for the answers that a client has not read; connections are closed while they take too much. */
    void setUnreadOutput(ClientSession session, long bytes) {
        reserve(limits.unreadOutput, session, bytes, ClientSession::rejectUnreadOutput);
    }

    private <O> void reserve(BufferReservations<O> reservations, O owner, long bytes, Consumer<O> release) {
        reservations.setReserved(owner, bytes, clock.now());
        for (O excess = reservations.ownerToRelease(); excess != null; excess = reservations.ownerToRelease()) {
            reservations.setReserved(excess, 0, 0);
            release.accept(excess);
        }
    }

    /** Closes an idle connection to free its descriptor for a new one; false where no connection is idle. */
    boolean closeAnyIdleConnection() {
        return pools.values().stream().anyMatch(p -> p.closeOldestIdle(Long.MAX_VALUE, "room"));
    }

    /** Closes the member connections that have timed out: while they opened, on a request, or idle. */
    void sweep(long idleTimeout) {
        long now = clock.now();
        new ArrayList<>(pools.values()).forEach(
                p -> runIsolated(() -> p.sweep(now, settings.capabilities().connectTimeout(), idleTimeout)));
        abortOverdue(now);
    }

    /** Answers the RPCs that a failed decision has left without an answer, and lets the engine go on. */
    private void abortOverdue(long now) {
        if (batchFailed) {
            batchFailed = false;
            submitInput(engine -> { });
        }
        List.copyOf(inFlightById.values()).stream().filter(rpc -> now - rpc.deadline >= OVERDUE_NANOS)
                .forEach(this::abortUnanswered);
    }

    /** The number of RPCs without a final answer. */
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
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel(false);
        }
        new ArrayList<>(pools.values()).forEach(Pool::closeAll);
    }
}
