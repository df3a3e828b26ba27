package reedquay.lab;

import example.StandIn;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedquay.lab.GatewaySimulation.RetryPolicy;
import reedquay.net.Configuration;
import reedquay.net.Gateway;
import reedquay.ops.OperatorGateway;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/**
 * An open-loop load generator over sockets. Requests are sent on a schedule drawn from a seed, whatever has been
 * answered, and latency counts from the scheduled time, so that a stall shows in the latency of every request scheduled
 * during it (no coordinated omission). It runs on one event loop; a connection carries one RPC at a time, and
 * connections are opened as needed, up to a limit.
 */
@Command(name = "load", mixinStandardHelpOptions = true,
        description = "Sends a seeded open-loop load over sockets to a running gateway, or to one with stand-in members"
        + " in this process.")
final class LoadGenerator implements Callable<Integer> {
    @Option(names = "--at", paramLabel = "HOST:PORT", description = "a running gateway; default: one is"
            + " started in this process")
    private String gatewayAddress;
    @Option(names = "--config", defaultValue = "example/config.json",
            description = "the configuration of the gateway started in this process")
    private Path configFile;
    @Option(names = "--ops", description = "the operators' file of the gateway started in this process; default:"
            + " none, the Router alone")
    private Path operatorFile;
    @Option(names = "--work-us", defaultValue = "5000", description = "work of a statement at a stand-in replica, in"
            + " microseconds")
    private long workMicros;
    @Option(names = "--per-second", defaultValue = "300", description = "requests per second of the even clients"
            + " together")
    private double evenRequestsPerSecond;
    @Option(names = "--clients", defaultValue = "48", description = "number of even clients")
    private int evenClients;
    @Option(names = "--greedy", defaultValue = "0", description = "requests per second of an additional greedy client")
    private double greedyRequestsPerSecond;
    @Option(names = "--manner", defaultValue = "EAGER",
            description = "retry policy of the greedy client: ${COMPLETION-CANDIDATES}")
    private RetryPolicy greedyRetryPolicy;
    @Option(names = "--seconds", defaultValue = "10", description = "duration of the measured load, which follows two"
            + " seconds of warm-up")
    private int seconds;
    @Option(names = "--seed", defaultValue = "1", description = "seed of the request schedule")
    private long seed;
    @Option(names = "--soft-ms", defaultValue = "500", description = "soft deadline, within which a request is served"
            + " in time, in milliseconds")
    private long softDeadlineMillis;
    @Option(names = "--connections", defaultValue = "300", description = "maximum number of connections")
    private int maxConnections;

    private static final int DEADLINE_MILLIS = 1200; // that of the method history in example/config.json

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<Request> waitingRequests = new ArrayDeque<>();
    private InetSocketAddress address;
    private SplittableRandom random;
    private int openConnections;
    private long nextRpcId = 0x1000;
    private long startNanos;
    private long measureFromNanos; // requests scheduled earlier are warm-up and not counted
    private long endNanos;

    /** Statistics of the measured requests of one kind of client. */
    private static final class ClientStatistics {
        final Histogram latencyMicros = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
        long requests;
        long requestsInTime;
        long pushedBack;
        long failed;
        long advisedRetries;
        long advisedRetriesInTime;
    }

    private final ClientStatistics evenStatistics = new ClientStatistics();
    private final ClientStatistics greedyStatistics = new ClientStatistics();

    /** One request of a client, over all its attempts. */
    private static final class Request {
        final String clientId;
        final ClientStatistics statistics;
        final RetryPolicy retryPolicy;
        final long scheduledNanos;
        long attemptNanos; // start of the current attempt
        int attempts;
        boolean measured;
        boolean isAdvisedRetry;
        boolean servedInTime;

        Request(String clientId, ClientStatistics statistics, RetryPolicy retryPolicy, long scheduledNanos) {
            this.clientId = clientId;
            this.statistics = statistics;
            this.retryPolicy = retryPolicy;
            this.scheduledNanos = scheduledNanos;
            attemptNanos = scheduledNanos;
        }
    }

    @Override public Integer call() throws Exception {
        StandIn standIn = null;
        Gateway gateway = null;
        if (gatewayAddress == null) {
            standIn = new StandIn(0, 200, "one", "two", "three");
            var json = com.google.gson.JsonParser.parseString(Files.readString(configFile)).getAsJsonObject();
            json.addProperty("listen", "127.0.0.1:0");
            json.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
            Configuration configuration = Configuration.parse(json.toString());
            gateway = operatorFile == null ? new Gateway(configuration)
                    : new OperatorGateway(configuration, operatorFile).gateway();
            address = gateway.start().join();
            standIn.server("two").workMicros = workMicros;
            standIn.server("three").workMicros = workMicros;
        } else {
            int colon = gatewayAddress.lastIndexOf(':');
            address = new InetSocketAddress(gatewayAddress.substring(0, colon),
                    Integer.parseInt(gatewayAddress.substring(colon + 1)));
        }
        random = new SplittableRandom(seed);
        startNanos = System.nanoTime();
        measureFromNanos = startNanos + 2_000_000_000L;
        endNanos = measureFromNanos + seconds * 1_000_000_000L;
        loop.execute(() -> {
            for (int i = 0; i < evenClients; i++) {
                scheduleNext("even" + i, evenStatistics, RetryPolicy.POLITE, evenRequestsPerSecond / evenClients,
                        startNanos);
            }
            if (greedyRequestsPerSecond > 0) {
                scheduleNext("greedy", greedyStatistics, greedyRetryPolicy, greedyRequestsPerSecond, startNanos);
            }
        });
        TimeUnit.NANOSECONDS.sleep(endNanos - System.nanoTime() + 3_000_000_000L);
        loop.submit(() -> {
            System.out.println("| clients | requests | in time | pushed back | came as told | of them in time |"
                    + " failed | ms 50% | 99 | 99.9 |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            printRow("even", evenStatistics);
            if (greedyRequestsPerSecond > 0) {
                printRow("greedy", greedyStatistics);
            }
        }).sync();
        if (gateway != null) {
            Map<String, Long> counters = gateway.counters().join();
            System.out.println("\ncounters " + counters);
            gateway.stop().join();
            standIn.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return 0;
    }

    private void printRow(String name, ClientStatistics statistics) {
        System.out.printf(Locale.ROOT, "| %s | %,d | %.4f | %,d | %,d | %.3f | %,d | %.1f | %.1f | %.1f |%n", name,
                statistics.requests, statistics.requestsInTime / (double) Math.max(1, statistics.requests),
                statistics.pushedBack, statistics.advisedRetries,
                statistics.advisedRetries == 0 ? 1
                        : statistics.advisedRetriesInTime / (double) statistics.advisedRetries,
                statistics.failed, statistics.latencyMicros.getValueAtPercentile(50) / 1e3,
                statistics.latencyMicros.getValueAtPercentile(99) / 1e3,
                statistics.latencyMicros.getValueAtPercentile(99.9) / 1e3);
    }

    // ---- Requests ----

    /** Schedules the next request of a client's Poisson process, which then schedules the one after it. */
    private void scheduleNext(String clientId, ClientStatistics statistics, RetryPolicy retryPolicy,
            double requestsPerSecond, long previousNanos) {
        long scheduledNanos = previousNanos + (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
        if (scheduledNanos >= endNanos) {
            return;
        }
        loop.schedule(() -> {
            Request request = new Request(clientId, statistics, retryPolicy, scheduledNanos);
            request.measured = scheduledNanos >= measureFromNanos;
            statistics.requests += request.measured ? 1 : 0;
            sendRequest(request);
            scheduleNext(clientId, statistics, retryPolicy, requestsPerSecond, scheduledNanos);
        }, Math.max(0, scheduledNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void sendRequest(Request request) {
        request.attempts++;
        ClientConnection connection = idleConnections.pollLast();
        if (connection != null) {
            connection.send(request);
        } else {
            waitingRequests.addLast(request);
            if (openConnections < maxConnections) {
                connect();
            }
        }
    }

    private void connect() {
        openConnections++;
        new Bootstrap().group(group).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(FrameDecoder.forServer(1 << 20), new ClientConnection());
                    }
                }).connect(address).addListener(f -> openConnections -= f.isSuccess() ? 0 : 1);
    }

    /** Records the end of an attempt and schedules a retry if it was pushed back and the client retries. */
    private void requestEnded(Request request, boolean ok, String sqlState, long retryAfterMillis) {
        long now = System.nanoTime();
        boolean inTime = ok && now - request.attemptNanos <= softDeadlineMillis * 1_000_000;
        if (request.measured && ok) {
            request.statistics.latencyMicros.recordValue(
                    Math.min(TimeUnit.SECONDS.toMicros(59), (now - request.scheduledNanos) / 1000));
        }
        if (request.measured && inTime && !request.servedInTime) {
            request.servedInTime = true;
            request.statistics.requestsInTime++;
        }
        if (request.measured && request.isAdvisedRetry) {
            request.statistics.advisedRetriesInTime += inTime ? 1 : 0;
        }
        if (ok) {
            return;
        }
        boolean isPushback = sqlState.equals("53300") || sqlState.equals("57P03");
        request.statistics.pushedBack += request.measured && isPushback ? 1 : 0;
        request.statistics.failed += request.measured && !isPushback ? 1 : 0;
        if (!isPushback || now > endNanos || request.retryPolicy != RetryPolicy.DEAF && request.attempts > 3) {
            return;
        }
        boolean polite = request.retryPolicy == RetryPolicy.POLITE;
        long delayMillis = !polite ? 1 : retryAfterMillis > 0 ? retryAfterMillis : softDeadlineMillis;
        loop.schedule(() -> {
            request.isAdvisedRetry = polite && retryAfterMillis > 0;
            request.statistics.advisedRetries += request.measured && request.isAdvisedRetry ? 1 : 0;
            request.attemptNanos = System.nanoTime();
            sendRequest(request);
        }, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** A client connection, which carries one request at a time. */
    private final class ClientConnection extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private Request request;
        private boolean ready;
        private String sqlState;
        private long retryAfterMillis;

        @Override public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            ctx.writeAndFlush(Messages.startupMessage(ctx.alloc().buffer(), "portal", "crm"));
        }

        void send(Request newRequest) {
            request = newRequest;
            sqlState = null;
            retryAfterMillis = 0;
            ByteBuf out = channel.alloc().buffer(160);
            channel.writeAndFlush(Messages.query(out, "/* id=" + Long.toHexString(nextRpcId++) + ",c=history,t=acme,d="
                    + DEADLINE_MILLIS + (newRequest.attempts > 1 ? ",r=1" : "")
                    + ",cluster=1 */ SELECT data FROM facts WHERE code = '" + newRequest.clientId + "'"));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            Frame frame = (Frame) message;
            try {
                if (frame.type == 'E') {
                    Map<Character, String> fields = new HashMap<>(frame.errorFields());
                    sqlState = fields.getOrDefault('C', "");
                    String detail = fields.getOrDefault('D', "0");
                    retryAfterMillis = detail.matches("[0-9]{1,9}") ? Long.parseLong(detail) : 0;
                } else if (frame.type == 'Z') {
                    Request last = request;
                    request = null;
                    ready = true;
                    takeWaitingRequest();
                    if (last != null) {
                        requestEnded(last, sqlState == null, sqlState == null ? "" : sqlState, retryAfterMillis);
                    }
                }
            } finally {
                frame.release();
            }
        }

        /** Sends the request that has waited longest for a connection; without one, this connection becomes idle. */
        private void takeWaitingRequest() {
            Request next = waitingRequests.pollFirst();
            if (next != null) {
                send(next);
            } else {
                idleConnections.addLast(this);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            openConnections--;
            idleConnections.remove(this);
            if (request != null) {
                requestEnded(request, false, "closed", 0);
            }
            if (!waitingRequests.isEmpty() && ready) {
                connect();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
