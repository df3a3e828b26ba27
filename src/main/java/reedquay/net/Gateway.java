package reedquay.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import reedquay.core.Method;
import reedquay.core.Settings;
import reedquay.route.Router;

/** A gateway on sockets: built from a configuration, started, given a new one, stopped. It runs on one event loop. */
public final class Gateway {
    private static final int BACKLOG = 1024;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Configuration configuration;
    private final ClientIdentifier clientIdentifier; // null: nobody asks who calls
    private final MonotonicClock clock = new MonotonicClock();
    private final Counters counters = new Counters();
    private final Limits limits;
    private final Dispatcher door;
    private final DiscoveryClient discovery;
    private final long idleFor;
    private final long sweepEvery;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private final Set<ClientSession> spoken = new LinkedHashSet<>(); // their startup has come
    private final Set<ClientSession> unused = new LinkedHashSet<>(); // they have asked nothing, the oldest first
    private final Set<ClientSession> free = new LinkedHashSet<>(); // the longest free one first
    private final List<Runnable> waitingForReady = new ArrayList<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final long startedAt = clock.now();
    private long lastSweepAt = startedAt;
    private boolean ready;
    private boolean stopBegan;
    private boolean stopping; // it ends with its last session
    private boolean listening;
    private Channel listener;
    private InetSocketAddress listFrom; // where discovery is now

    /** Throws IllegalArgumentException where the settings are unfit. */
    public Gateway(Configuration configuration) {
        this(configuration, new GatewayComponents(Router::new, null));
    }

    /** The same with other parts, as stages before the Router. */
    public Gateway(Configuration configuration, GatewayComponents parts) {
        this.configuration = configuration;
        clientIdentifier = parts.clientIdentifier();
        limits = new Limits(configuration.sockets(), configuration.memoryMb());
        int connectMillis = 60_000; // never reached: the pool's sweep ends what does not come up in time
        Bootstrap bootstrap = new Bootstrap().group(group).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis);
        door = new Dispatcher(loop, bootstrap, clock, limits, counters, configuration.settings(), configuration.seed(),
                parts.deciderFactory());
        discovery = new DiscoveryClient(door, bootstrap, loop);
        listFrom = configuration.discovery();
        long keepalive = configuration.settings().keepaliveTimeout();
        idleFor = keepalive > 0 ? keepalive / 2 : Long.MAX_VALUE / 2;
        sweepEvery = Math.max(1_000_000, door.settings().capabilities().connectTimeout() / 8);
        counters.gauge("client.open", limits::openClients);
        counters.gauge("member.open", limits::openMemberConnections);
        counters.gauge("client.heldbytes", limits::heldBytes);
        counters.gauge("client.partialbytes", limits::partialBytes);
    }

    /** Listens and follows discovery; the future is the address that clients connect to. */
    public CompletableFuture<InetSocketAddress> start() {
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        loop.execute(() -> {
            if (configuration.rememberedMembers() != null) {
                discovery.restore(configuration.rememberedMembers());
            }
            discovery.moveTo(configuration.discovery());
            sweep();
            new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override protected void initChannel(Channel channel) {
                            ClientSession session = new ClientSession(Gateway.this, door);
                            channel.pipeline().addLast(session.decoder, session);
                        }
                    })
                    .bind(configuration.listen()).addListener((io.netty.channel.ChannelFuture f) -> {
                        if (f.isSuccess()) {
                            listener = f.channel();
                            listening = true;
                            bound.complete((InetSocketAddress) listener.localAddress());
                        } else {
                            bound.completeExceptionally(f.cause());
                            terminate();
                        }
                    });
        });
        return bound;
    }

    private void sweep() {
        if (stopped.isDone()) {
            return;
        }
        long now = clock.now();
        clock.slewTowardsWallClock(sweepEvery / 1000);
        door.sweep(idleFor);
        discovery.closeSilentWatches();
        checkReady(now);
        lastSweepAt = now;
        int mayResume = limits.isMemoryFull() ? 0 : limits.remainingMessages(); // guards against all of them at once
        for (ClientSession session : new ArrayList<>(sessions)) {
            session.sweep(now, door.settings().capabilities().connectTimeout());
            if (mayResume > 0 && session.isPausedForMemory()) {
                mayResume--;
                session.resume();
            }
        }
        loop.schedule(this::sweep, sweepEvery, TimeUnit.NANOSECONDS);
    }

    private void checkReady(long now) {
        boolean late = now - startedAt >= startupTimeout(door.settings());
        if (!ready && (discovery.hasReceivedList() && door.outstandingProbes() == 0 || late)) {
            ready = true;
            waitingForReady.forEach(Runnable::run);
            waitingForReady.clear();
        }
    }

    /** How long a start may take before clients are let in whatever is missing. */
    static long startupTimeout(Settings settings) {
        return 8 * settings.capabilities().connectTimeout();
    }

    /** Runs it at once, or when this gateway has heard enough to decide. */
    void whenReady(Runnable then) {
        if (ready) {
            then.run();
        } else {
            waitingForReady.add(then);
        }
    }

    // ---- New configurations ----

    /**
     * Reads a configuration that replaced the one this gateway runs with, on the caller's thread, and takes it on.
     * Guards the gateway that runs: a file that is missing, half written or unfit changes nothing.
     */
    public CompletableFuture<Boolean> reload(Path file) {
        try {
            return reload(Configuration.read(file));
        } catch (IOException | RuntimeException e) {
            return submitToEventLoop(() -> {
                counters.add("reload.unfit");
                door.log("a new configuration cannot be used, the running one stays: " + e.getMessage());
                return false;
            });
        }
    }

    /** Takes on what can change while running; false where something in it needs a restart, which is logged. */
    public CompletableFuture<Boolean> reload(Configuration next) {
        return submitToEventLoop(() -> {
            counters.add("reload");
            if (!next.discovery().equals(listFrom)) {
                listFrom = next.discovery();
                counters.add("discovery.moves");
                discovery.moveTo(listFrom);
            }
            String unlike = configuration.changesNeedingRestart(next);
            if (!unlike.isEmpty()) {
                counters.add("reload.restart");
                door.log("the new configuration has another " + unlike + ": that needs a restart and is passed over");
            }
            return unlike.isEmpty();
        });
    }

    /** Has a change to its parts made on its own thread; false once it has stopped. */
    public CompletableFuture<Boolean> runOnEventLoop(Runnable made) {
        return submitToEventLoop(() -> {
            made.run();
            return true;
        });
    }

    /** False, and nothing is run, once this gateway has stopped. */
    private CompletableFuture<Boolean> submitToEventLoop(Supplier<Boolean> change) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        try {
            loop.execute(() -> done.complete(change.get()));
        } catch (RejectedExecutionException e) {
            done.complete(false); // the loop has ended: there is nothing left to change
        }
        return done;
    }

    /** The table of that name, its column names first; null where there is none. Read on the event loop. */
    List<String[]> showTable(String what) {
        if (!what.equals("discovery")) {
            return door.showTable(what);
        }
        List<String[]> rows = new ArrayList<>(discovery.statusRows());
        rows.add(0, new String[] {"source", "state", "told", "in_force", "heard_ms_ago"});
        return rows;
    }

    ClientIdentifier clientIdentifier() {
        return clientIdentifier;
    }

    // ---- Sessions ----

    void sessionOpened(ClientSession session) {
        sessions.add(session);
        unused.add(session);
        if (limits.clientOpened()) {
            ClientSession least = sessionToClose();
            closeToFreeDescriptor(least != null ? least : first(unused), session);
        }
        updateAccepting();
    }

    /** It has sent its startup. */
    void startupReceived(ClientSession session) {
        spoken.add(session);
        closeExcessSessions(session);
    }

    /**
     * Guards against clients that open a connection for each RPC and leave it open: they fill the share of the
     * descriptors that a front allows itself, and it turns RPCs away while nearly all its connections stand free here.
     */
    private void closeExcessSessions(ClientSession but) {
        boolean closed = true;
        while (closed && spoken.size() > limits.startedSessionsSoftLimit) {
            closed = closeToFreeDescriptor(sessionToClose(), but);
        }
    }

    /**
     * The oldest that has long asked nothing: guards the usual clients against hundreds that say nothing. Else the one
     * longest free. One that has just come is neither: its first statement may lie unread, and it would come again.
     */
    private ClientSession sessionToClose() {
        ClientSession oldest = first(unused);
        boolean silent = oldest != null && clock.now() - oldest.connectedAt() >= door.settings().capabilities().connectTimeout();
        return silent ? oldest : first(free);
    }

    private static ClientSession first(Set<ClientSession> of) {
        return of.isEmpty() ? null : of.iterator().next();
    }

    private boolean closeToFreeDescriptor(ClientSession goes, ClientSession but) {
        if (goes == null || goes == but) {
            return false;
        }
        counters.add("client.closed.room");
        spoken.remove(goes);
        unused.remove(goes);
        free.remove(goes);
        goes.closeAfterFlush();
        return true;
    }

    void sessionClosed(ClientSession session) {
        sessions.remove(session);
        spoken.remove(session);
        unused.remove(session);
        free.remove(session);
        limits.clientClosed();
        updateAccepting();
        if (stopping) {
            checkStopped();
        }
    }

    /** It has sent something behind its startup. */
    void commandReceived(ClientSession session) {
        unused.remove(session);
    }

    long lastSweepAt() {
        return lastSweepAt;
    }

    /** Guards the memory: where messages that are not whole take too much of it, the longest of them goes. */
    void addPartialBytes(int bytes) {
        limits.addPartialBytes(bytes);
        if (bytes > 0 && limits.isPartialMemoryFull()) {
            counters.add("client.closed.partial");
            sessions.stream().max(Comparator.comparingInt(ClientSession::partialBytes)).get()
                    .rejectInput("a message begun while memory is short");
        }
    }

    void setIdle(ClientSession session, boolean isFree) {
        free.remove(session);
        if (isFree && sessions.contains(session) && !unused.contains(session)) {
            free.add(session);
            closeExcessSessions(session);
        }
    }

    /** Guards the descriptors: what the limit leaves no room for waits in the backlog. */
    private void updateAccepting() {
        if (listener != null && listening) {
            listener.config().setAutoRead(limits.openClients() < limits.maxClients);
        }
    }

    // ---- Shutdown ----

    /**
     * Takes new sessions for as long as clients still come, and serves those it has while an answer can be in time
     * before the kill: guards the clients while another gateway is restarting too. Done when all is closed.
     */
    public CompletableFuture<Void> stop() {
        if (stopped.isDone()) {
            return stopped;
        }
        loop.execute(() -> {
            if (stopBegan) {
                return;
            }
            stopBegan = true;
            List<Method> methods = door.settings().methods();
            long end = Shutdown.maxDurationNanos(methods.stream().mapToLong(Method::deadline).max().orElse(0));
            long soft = methods.stream().mapToLong(Method::softDeadline).min().orElse(0);
            door.answerAllBy(clock.now() + end - sweepEvery);
            loop.schedule(this::stopAccepting, Shutdown.ACCEPT_NANOS, TimeUnit.NANOSECONDS);
            loop.schedule(this::drainSessions, Math.max(Shutdown.ACCEPT_NANOS, end - soft), TimeUnit.NANOSECONDS);
            loop.schedule(this::terminate, end, TimeUnit.NANOSECONDS);
        });
        return stopped;
    }

    /** What lies in the backlog by now is accepted whatever the limit; the sessions there are go on. */
    private void stopAccepting() {
        listening = false;
        stopping = true;
        if (listener != null) {
            listener.config().setAutoRead(true);
            loop.schedule(() -> listener.close(), sweepEvery, TimeUnit.NANOSECONDS);
        }
        loop.schedule(this::checkStopped, sweepEvery, TimeUnit.NANOSECONDS);
    }

    /** Ends at once, whatever is in hand. */
    void halt() {
        loop.execute(this::terminate);
        stopped.join();
    }

    private void drainSessions() {
        new ArrayList<>(sessions).forEach(ClientSession::drain);
        checkStopped();
    }

    private void checkStopped() {
        if (sessions.isEmpty() && door.inFlight() == 0) {
            terminate();
        }
    }

    private void terminate() {
        if (stopped.isDone()) {
            return;
        }
        discovery.close();
        door.close();
        if (listener != null) {
            listener.close();
        }
        new ArrayList<>(sessions).forEach(ClientSession::closeAfterFlush);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        stopped.complete(null);
    }

    /** What was taken in, sent and answered so far. */
    public CompletableFuture<Map<String, Long>> counters() {
        CompletableFuture<Map<String, Long>> all = new CompletableFuture<>();
        if (loop.isShuttingDown()) {
            all.complete(door.allCounters());
        } else {
            loop.execute(() -> all.complete(door.allCounters()));
        }
        return all;
    }
}
