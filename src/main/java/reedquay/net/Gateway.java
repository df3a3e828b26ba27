package reedquay.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import reedquay.core.Method;
import reedquay.core.Settings;
import reedquay.route.Router;
import reedquay.sessions.SessionRegistry;

/**
 * A running proxy: accepts clients, follows discovery and connects to members. It is built from a configuration,
 * started, possibly reloaded, and stopped. All its state is used on one event loop. Times in nanoseconds.
 */
public final class Gateway {
    private static final int BACKLOG = 1024;
    private static final int MAX_ACCEPTING_READS = BACKLOG / AcceptHandler.MAX_ACCEPTS_PER_READ + 1;
    private static final long BIND_TIMEOUT_NANOS = 2_000_000_000;
    private static final long BIND_RETRY_NANOS = 50_000_000;
    private static final long NOT_PAUSED = Long.MIN_VALUE;
    private static final long MAX_ABANDON_NANOS = 20_000_000; // for all sessions that are left at the end
    private static final long MIN_ABANDON_NANOS = 50_000; // for each of them
    private static final int MIN_READ_BYTES = 2 * 1024; // of a client's socket in one turn
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** The unread answers of a client beyond which no further message of it is handled. */
    private static final int MAX_UNREAD_OUTPUT_BYTES = 16 * 1024;
    private static final long HELD_BACK_LOG_INTERVAL_NANOS = 1_000_000_000;
    private static final int MAX_LISTED_SESSIONS = 20;
    private static final int MAX_GOING_ON = 16; // sessions that were to close and had sent more, at a time

    private final LoopMonitor loopMonitor = new LoopMonitor();
    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, (Executor) null, SelectorProvider.provider(), () -> loopMonitor);
    private final EventLoop loop = group.next();
    private final Configuration configuration;
    private final ClientIdentifier clientIdentifier; // null where only tenants are identified
    private final MonotonicClock clock;
    private final Counters counters = new Counters();
    private final Limits limits;
    private final Dispatcher dispatcher;
    private final DiscoveryClient discovery;
    private final long idleTimeout;
    private final long sweepInterval;
    private final SessionRegistry<ClientSession> sessions;
    /** The sessions that have messages to handle, or input to read on. */
    final SessionWork work = new SessionWork(loop);
    private long heldBackLoggedAt;
    private final List<Runnable> readinessCallbacks = new ArrayList<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final long startedAt;
    private long lastSweepAt;
    private boolean closingSessions;
    private boolean backlogEmpty; // since it was last asked
    private boolean ready;
    private boolean stopRequested;
    private boolean stopping; // accepts no more; terminates with its last session
    private volatile boolean terminating;
    private boolean listening;
    private Channel listener;
    private long acceptPausedAt = NOT_PAUSED; // since then connections may have waited to be accepted
    private int sweepsSinceResume; // of accepting, after the pause
    private InetSocketAddress discoveryAddress; // from the last configuration read

    /** A gateway with the standard components. Throws IllegalArgumentException where the settings are invalid. */
    public Gateway(Configuration configuration) {
        this(configuration, new GatewayComponents(Router::new, null));
    }

    /** A gateway with other components, such as stages before the Router. */
    public Gateway(Configuration configuration, GatewayComponents components) {
        this(configuration, components, new MonotonicClock());
    }

    Gateway(Configuration configuration, GatewayComponents components, MonotonicClock clock) {
        this.configuration = configuration;
        this.clock = clock;
        startedAt = clock.now();
        lastSweepAt = startedAt;
        clientIdentifier = components.clientIdentifier();
        limits = new Limits(configuration.sockets(), configuration.memoryMb());
        Connector connector = new Connector(loop);
        dispatcher = new Dispatcher(loop, loopMonitor, connector, clock, limits, counters, configuration.settings(),
                configuration.seed(), components.engineFactory());
        sessions = new SessionRegistry<>(limits.clientsSoftLimit, limits.startedSessionsSoftLimit,
                dispatcher.settings().capabilities().connectTimeout(), ClientSession::owesAnswer);
        discovery = new DiscoveryClient(dispatcher, connector, loop);
        discoveryAddress = configuration.discovery();
        long keepalive = configuration.settings().keepaliveTimeout();
        idleTimeout = keepalive > 0 ? keepalive / 2 : Long.MAX_VALUE / 2;
        sweepInterval = Math.max(1_000_000, dispatcher.settings().capabilities().connectTimeout() / 8);
        group.terminationFuture().addListener(f -> stopped.complete(null)); // also where the event loop has failed
        counters.gauge("client.open", limits::openClients);
        counters.gauge("member.open", limits::openMemberConnections);
        counters.gauge("client.heldbytes", limits.statementMemory::totalBytes);
        counters.gauge("client.partialbytes", limits.unfinishedInput::totalBytes);
        for (HeldBack reason : HeldBack.values()) {
            counters.add(reason.counter(), 0);
        }
        counters.gauge("client.outputbytes", limits.unreadOutput::totalBytes);
        counters.gauge("memory.heap", () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        loopMonitor.register(counters);
        counters.gauge("memory.direct", PooledByteBufAllocator.DEFAULT.metric()::usedDirectMemory);
    }

    /** Starts to listen and to follow discovery; the future is the address that clients connect to. */
    public CompletableFuture<InetSocketAddress> start() {
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        loop.execute(() -> {
            if (configuration.cachedMembers() != null) {
                discovery.restore(configuration.cachedMembers());
            }
            discovery.moveTo(configuration.discovery());
            sweep();
            bind(bound, clock.now() + BIND_TIMEOUT_NANOS);
        });
        return bound;
    }

    /** Binds the listener, and tries again until the given time, since a socket or the address may be free soon. */
    private void bind(CompletableFuture<InetSocketAddress> bound, long giveUpAt) {
        new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(
                        MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNREAD_OUTPUT_BYTES / 2, MAX_UNREAD_OUTPUT_BYTES))
                .handler(new AcceptHandler(new AcceptListener()))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        ClientSession session = new ClientSession(Gateway.this, dispatcher);
                        channel.pipeline().addLast(session);
                    }
                })
                .bind(configuration.listen())
                // a failed socket() is reported on another thread
                .addListener((ChannelFuture binding) -> loop.execute(() -> bindEnded(binding, bound, giveUpAt)));
    }

    private void bindEnded(ChannelFuture binding, CompletableFuture<InetSocketAddress> bound, long giveUpAt) {
        if (binding.isSuccess()) {
            listener = binding.channel();
            listening = !stopping;
            updateAccepting();
            bound.complete((InetSocketAddress) listener.localAddress());
        } else if (!terminating && !stopping && clock.now() < giveUpAt) {
            counters.add("listen.retries");
            loop.schedule(() -> bind(bound, giveUpAt), BIND_RETRY_NANOS, TimeUnit.NANOSECONDS);
        } else {
            bound.completeExceptionally(binding.cause());
            terminate();
        }
    }

    /** Applies all timeouts, at intervals of sweepInterval; a step that fails ends neither the others nor the next. */
    private void sweep() {
        if (stopped.isDone()) {
            return;
        }
        loop.schedule(this::sweep, sweepInterval, TimeUnit.NANOSECONDS);
        dispatcher.runIsolated(this::runSweepSteps);
    }

    private void runSweepSteps() {
        lastSweepAt = clock.now();
        dispatcher.runIsolated(() -> dispatcher.sweep(idleTimeout));
        dispatcher.runIsolated(discovery::closeSilentWatches);
        dispatcher.runIsolated(() -> checkReady(lastSweepAt));
        dispatcher.runIsolated(this::forgetOldPause);
        for (ClientSession session : new ArrayList<>(sessions.open())) {
            dispatcher.runIsolated(
                    () -> session.sweep(lastSweepAt, dispatcher.settings().capabilities().connectTimeout()));
        }
    }

    private void checkReady(long now) {
        boolean timedOut = now - startedAt >= startupTimeout(dispatcher.settings());
        if (!ready && (discovery.hasReceivedList() && dispatcher.outstandingProbes() == 0 || timedOut)) {
            ready = true;
            readinessCallbacks.forEach(Runnable::run);
            readinessCallbacks.clear();
        }
    }

    /** How long the gateway waits for the member list and the first probes before it serves clients regardless. */
    static long startupTimeout(Settings settings) {
        return 8 * settings.capabilities().connectTimeout();
    }

    boolean isReady() {
        return ready;
    }

    /** Runs the callback once the member list and the first probes' results have arrived, or startupTimeout is over. */
    void whenReady(Runnable callback) {
        if (ready) {
            callback.run();
        } else {
            readinessCallbacks.add(callback);
        }
    }

    // ---- Reload ----

    /**
     * Reads a new configuration, on the caller's thread, and applies it. A file that is missing, incomplete or invalid
     * changes nothing, and the future yields false.
     */
    public CompletableFuture<Boolean> reload(Path file) {
        try {
            return reload(Configuration.read(file));
        } catch (IOException | RuntimeException e) {
            return submitToEventLoop(() -> {
                counters.add("reload.unfit");
                dispatcher.log("the new configuration is invalid, keeping the running one: " + e.getMessage());
                return false;
            });
        }
    }

    /** Applies what can change while running. Yields false where some change needs a restart, which is logged. */
    public CompletableFuture<Boolean> reload(Configuration next) {
        return submitToEventLoop(() -> {
            counters.add("reload");
            if (!next.discovery().equals(discoveryAddress)) {
                discoveryAddress = next.discovery();
                counters.add("discovery.moves");
                discovery.moveTo(discoveryAddress);
            }
            String unchangeable = configuration.changesNeedingRestart(next);
            if (!unchangeable.isEmpty()) {
                counters.add("reload.restart");
                dispatcher.log("the new configuration changes " + unchangeable
                        + ": this needs a restart and is ignored");
            }
            return unchangeable.isEmpty();
        });
    }

    /** Runs a change to the gateway's components on its event loop. Yields false once the gateway has stopped. */
    public CompletableFuture<Boolean> runOnEventLoop(Runnable change) {
        return submitToEventLoop(() -> {
            change.run();
            return true;
        });
    }

    /** Runs the change on the event loop. Once this gateway has stopped, runs nothing and yields false. */
    private CompletableFuture<Boolean> submitToEventLoop(Supplier<Boolean> change) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        try {
            loop.execute(() -> result.complete(change.get()));
        } catch (RejectedExecutionException e) {
            result.complete(false); // the event loop has ended
        }
        return result;
    }

    /** The table for SHOW of that name, column names first; null where there is none. Called on the event loop. */
    List<String[]> showTable(String name) {
        if (name.equals("sessions")) {
            return showSessions();
        } else if (!name.equals("discovery")) {
            return dispatcher.showTable(name);
        }
        List<String[]> rows = new ArrayList<>(discovery.statusRows());
        rows.add(0, new String[] {"source", "state", "told", "in_force", "heard_ms_ago"});
        return rows;
    }

    /** The sessions that have used most of the event loop's time, those that are held back first. */
    private List<String[]> showSessions() {
        List<String[]> rows = new ArrayList<>();
        rows.add(new String[] {"client", "held_back", "served_ms", "input_bytes", "refused", "unread_bytes"});
        sessions.open().stream()
                .sorted(Comparator.comparing((ClientSession session) -> session.heldBack() == null)
                        .thenComparing(ClientSession::servedNanos, Comparator.reverseOrder()))
                .limit(MAX_LISTED_SESSIONS)
                .forEach(session -> rows.add(new String[] {session.address(),
                    session.heldBack() == null ? "" : session.heldBack().name().toLowerCase(Locale.ROOT),
                    Long.toString(session.servedNanos() / 1_000_000), Integer.toString(session.inputBytes()),
                    Long.toString(session.refusedMessages()), Long.toString(session.unreadOutputBytes())}));
        return rows;
    }

    /** The open sessions, oldest first. */
    Set<ClientSession> openSessions() {
        return sessions.open();
    }

    ClientIdentifier clientIdentifier() {
        return clientIdentifier;
    }

    // ---- Sessions ----

    /** Registers a session, and closes another where the soft limit is exceeded. */
    void sessionOpened(ClientSession session) {
        sessions.opened(session);
        limits.clientOpened();
        closeSessions(() -> sessions.toCloseForRoom(clock.now(), oldestUnusedAt()), session, 1);
        updateAccepting();
    }

    private long oldestUnusedAt() {
        ClientSession oldest = sessions.oldestUnused();
        return oldest == null ? 0 : oldest.connectedAt();
    }

    /** The session has sent its startup message. */
    void startupReceived(ClientSession session) {
        sessions.startupReceived(session);
        closeExcessSessions(session);
    }

    /**
     * Closes sessions while more than the soft limit have been started. Prevents clients' front ends from rejecting
     * RPCs, which happens when they open a connection for each RPC and leave it open: the connections use up the
     * descriptors that a front end allows itself, although nearly all of them are idle here.
     */
    private void closeExcessSessions(ClientSession keep) {
        closeSessions(() -> sessions.toCloseAmongStarted(clock.now(), oldestUnusedAt()), keep, Integer.MAX_VALUE);
    }

    /**
     * Closes the sessions that are named, up to a number, until none is or it is the one to keep. One that turns out to
     * have sent more goes on, and the next one is asked for.
     */
    private void closeSessions(Supplier<ClientSession> next, ClientSession keep, int maxClosed) {
        if (closingSessions) {
            return; // what is read of a session that is about to close can make it idle
        }
        closingSessions = true;
        try {
            int closed = 0;
            for (int goingOn = 0; closed < maxClosed && goingOn < MAX_GOING_ON; ) {
                ClientSession session = next.get();
                if (session == null || session == keep) {
                    return;
                }
                boolean isClosed = closeToFreeDescriptor(session);
                closed += isClosed ? 1 : 0;
                goingOn += isClosed ? 0 : 1;
            }
        } finally {
            closingSessions = false;
        }
    }

    /** Closes the session, unless it has sent more; returns whether it closes. */
    private boolean closeToFreeDescriptor(ClientSession session) {
        if (sessions.isHeldBack(session)) {
            sessions.closing(session);
            session.closeHeldBack();
            return true;
        }
        boolean closes = session.closeForRoom();
        if (closes) {
            sessions.closing(session);
        }
        return closes;
    }

    /** The session reads no further message; its connection closes once its answers are written. */
    void sessionClosing(ClientSession session) {
        sessions.closing(session);
    }

    /** Removes a session whose connection has closed. */
    void sessionClosed(ClientSession session) {
        sessions.closed(session);
        work.remove(session);
        limits.clientClosed();
        updateAccepting();
        if (stopping) {
            checkStopped();
        }
    }

    /** The session has sent a message after its startup. */
    void commandReceived(ClientSession session) {
        sessions.messageReceived(session);
    }

    /** The session is held back for another reason than before; null: it is no longer. */
    void heldBackChanged(ClientSession session, HeldBack reason) {
        sessions.setHeldBack(session, reason != null);
        if (reason == null) {
            return;
        }
        counters.add(reason.counter());
        long now = clock.now();
        if (reason != HeldBack.INCOMPLETE && now >= heldBackLoggedAt + HELD_BACK_LOG_INTERVAL_NANOS) {
            heldBackLoggedAt = now;
            dispatcher.log("client " + session.address() + " is held back: it " + reason.description);
        }
    }

    /** The time of the last sweep, for uses where the interval between sweeps is precise enough. */
    long lastSweepAt() {
        return lastSweepAt;
    }

    /** Records whether the session is between statements, which makes it a candidate for closing. */
    void setIdle(ClientSession session, boolean isIdle) {
        if (sessions.setIdle(session, isIdle)) {
            closeExcessSessions(session);
        }
    }

    /** Follows the listener's events; an object of its own, so that they are no part of the public interface. */
    private final class AcceptListener implements AcceptHandler.Listener {
        @Override public void acceptFailed(Throwable cause) {
            pauseBegan();
            counters.add("client.unaccepted");
            dispatcher.logOnce("cannot accept a connection, trying again: " + cause.getMessage());
        }

        @Override public void resumeAccepting() {
            updateAccepting();
        }

        @Override public void backlogEmptied() {
            backlogEmpty = true;
            acceptPausedAt = NOT_PAUSED;
        }
    }

    private void pauseBegan() {
        acceptPausedAt = acceptPausedAt == NOT_PAUSED ? clock.now() : acceptPausedAt;
    }

    /** Ends the account of a pause after which no connection was in the backlog, so that none was accepted. */
    private void forgetOldPause() {
        if (acceptPausedAt != NOT_PAUSED && listener.config().isAutoRead() && ++sweepsSinceResume >= 2) {
            acceptPausedAt = NOT_PAUSED; // a whole interval between sweeps has passed
        }
    }

    /** For how long a connection that is accepted now may have waited for it, in nanoseconds. */
    long maxBacklogWait() {
        return acceptPausedAt == NOT_PAUSED ? 0 : clock.now() - acceptPausedAt;
    }

    /** Accepts connections only below the limit on descriptors; further ones wait in the listen backlog. */
    private void updateAccepting() {
        if (listener != null && listening) {
            boolean accepting = limits.openClients() < limits.maxClients;
            if (!accepting) {
                pauseBegan();
            } else if (!listener.config().isAutoRead()) {
                sweepsSinceResume = 0;
            }
            listener.config().setAutoRead(accepting);
        } else if (listener != null && stopping) {
            listener.config().setAutoRead(true); // the backlog, until the listener closes
        }
    }

    // ---- Shutdown ----

    /**
     * Shuts down in order: accepts new sessions for as long as clients still connect, and serves open ones while an
     * answer can be in time before the process is killed, since another gateway may be restarting at the same time.
     * The future completes when everything is closed.
     */
    public CompletableFuture<Void> stop() {
        if (stopped.isDone() || loop.isShuttingDown()) {
            return stopped;
        }
        loop.execute(() -> {
            if (stopRequested) {
                return;
            }
            stopRequested = true;
            List<Method> methods = dispatcher.settings().methods();
            long maxDuration = Shutdown.maxDurationNanos(methods.stream().mapToLong(Method::deadline).max().orElse(0));
            long shortestSoftDeadline = methods.stream().mapToLong(Method::softDeadline).min().orElse(0);
            dispatcher.answerAllBy(clock.now() + maxDuration - sweepInterval);
            loop.schedule(this::stopAccepting, Shutdown.ACCEPT_NANOS, TimeUnit.NANOSECONDS);
            loop.schedule(this::drainSessions, Math.max(Shutdown.ACCEPT_NANOS, maxDuration - shortestSoftDeadline),
                    TimeUnit.NANOSECONDS);
            loop.schedule(this::terminate, maxDuration, TimeUnit.NANOSECONDS);
        });
        return stopped;
    }

    /** Whether the event loop has ended without a stop, by a failure; nothing is served any more. */
    public boolean hasFailed() {
        return loop.isShuttingDown() && !terminating;
    }

    /** Accepts what is in the backlog by now, whatever the limit, and then closes the listener; sessions stay open. */
    private void stopAccepting() {
        listening = false;
        stopping = true;
        updateAccepting();
        if (listener != null) {
            loop.schedule(this::closeListener, sweepInterval, TimeUnit.NANOSECONDS);
        }
        loop.schedule(this::checkStopped, sweepInterval, TimeUnit.NANOSECONDS);
    }

    /** Closes the listener once all connections that wait in its backlog are accepted, since it would reset them. */
    private void closeListener() {
        backlogEmpty = false;
        for (int reads = 0; reads < MAX_ACCEPTING_READS && !backlogEmpty; reads++) {
            SocketInput.readNow(listener);
        }
        listener.close();
    }

    /** Stops at once, whatever is in flight; blocks until then. */
    void halt() {
        loop.execute(this::terminate);
        stopped.join();
    }

    private void drainSessions() {
        dispatcher.workBegins();
        long start = System.nanoTime();
        List<ClientSession> draining = new ArrayList<>(sessions.open());
        draining.forEach(ClientSession::drain);
        long closed = draining.stream().filter(ClientSession::isClosing).count();
        dispatcher.log("draining " + draining.size() + " sessions; " + closed + " had nothing open and closed in "
                + (System.nanoTime() - start) / 1_000 + " us");
        checkStopped();
    }

    private void checkStopped() {
        if (sessions.open().isEmpty() && dispatcher.inFlight() == 0) {
            terminate();
        }
    }

    private void terminate() {
        if (terminating) {
            return;
        }
        terminating = true;
        try {
            abandonSessions();
            discovery.close();
            dispatcher.close();
            if (listener != null) {
                listener.close();
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            stopped.complete(null);
        }
    }

    /** Ends all sessions within a limited time; what one does not need of its share is left to those after it. */
    private void abandonSessions() {
        long end = System.nanoTime() + MAX_ABANDON_NANOS;
        List<ClientSession> remaining = new ArrayList<>(sessions.open());
        for (int i = 0; i < remaining.size(); i++) {
            long share = (end - System.nanoTime()) / (remaining.size() - i);
            remaining.get(i).abandon(CloseReason.SHUTDOWN, Math.max(MIN_ABANDON_NANOS, share));
        }
    }

    /** The current value of every counter, by name. */
    public CompletableFuture<Map<String, Long>> counters() {
        CompletableFuture<Map<String, Long>> all = new CompletableFuture<>();
        if (loop.isShuttingDown()) {
            all.complete(dispatcher.allCounters());
        } else {
            loop.execute(() -> all.complete(dispatcher.allCounters()));
        }
        return all;
    }
}
