package reedquay.lab.soak;

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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/**
 * Open-loop clients of one run: they send on a schedule drawn from a seed, use every connection that is open, pipeline,
 * leave, and send some messages in two parts; a crowd of further connections sends nothing. All on one event loop.
 */
final class SoakClients {
    private static final double PIPELINED_PART = 0.1;
    private static final double LEAVING_PART = 0.03;
    private static final double SPLIT_PART = 0.05;
    private static final int MAX_PIPELINED = 4;
    private static final int MAX_CONNECTIONS = 150;
    private static final int MIN_DEADLINE_MILLIS = 5;
    /** How long after an unanswered close the members' records are looked at, before the request is sent again. */
    private static final int RESEND_DELAY_MILLIS = 20;
    private static final int CROWD_REOPEN_MILLIS = 100;
    private static final int LATENESS_CHECK_MILLIS = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final SoakPlan plan;
    private final Arrivals arrivals;
    private final SplittableRandom random;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final Set<Connection> open = new LinkedHashSet<>();
    private final List<SoakRequest> requests = new ArrayList<>();
    private volatile InetSocketAddress address;
    private boolean stopped;
    private int nextId = 0x1000;
    private long maxLatenessNanos;

    SoakClients(SoakPlan plan, Arrivals arrivals) {
        this.plan = plan;
        this.arrivals = arrivals;
        random = new SplittableRandom(plan.seed() * 31 + 7);
    }

    /** Starts the load on the gateway at that address. */
    void start(InetSocketAddress gatewayAddress) {
        address = gatewayAddress;
        loop.execute(() -> {
            scheduleNext();
            checkLateness(System.nanoTime());
            for (int i = 0; i < plan.crowd(); i++) {
                connect(new Connection(true));
            }
        });
    }

    /** Sends nothing new from now on; connections stay open. */
    void stop() {
        loop.submit(() -> stopped = true).syncUninterruptibly();
    }

    /** Closes all connections and returns the records; requests without an end are those that got none. */
    List<SoakRequest> finish() {
        loop.submit(() -> new ArrayList<>(open).forEach(c -> c.abandoned = true)).syncUninterruptibly();
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        return requests;
    }

    /** The longest time by which this event loop was late: answers may seem late by as much. */
    long maxLatenessMillis() {
        return maxLatenessNanos / 1_000_000;
    }

    private void checkLateness(long dueAt) {
        maxLatenessNanos = Math.max(maxLatenessNanos, System.nanoTime() - dueAt);
        long next = System.nanoTime() + LATENESS_CHECK_MILLIS * 1_000_000L;
        loop.schedule(() -> checkLateness(next), LATENESS_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void scheduleNext() {
        if (stopped) {
            return;
        }
        long delay = (long) (-Math.log(1 - random.nextDouble()) / plan.requestsPerSecond() * 1e9);
        loop.schedule(() -> {
            sendNext();
            scheduleNext();
        }, delay, TimeUnit.NANOSECONDS);
    }

    private void sendNext() {
        Connection connection = takeConnection();
        if (connection == null) {
            return;
        }
        int count = random.nextDouble() < PIPELINED_PART ? 2 + random.nextInt(MAX_PIPELINED - 1) : 1;
        for (int i = 0; i < count; i++) {
            connection.send(newRequest());
        }
        if (random.nextDouble() < LEAVING_PART) {
            loop.schedule(connection::leave, random.nextInt(20_000), TimeUnit.MICROSECONDS);
        }
    }

    private SoakRequest newRequest() {
        SoakPlan.MethodPlan method = plan.methods().get(random.nextInt(plan.methods().size()));
        int deadline = MIN_DEADLINE_MILLIS + random.nextInt(method.deadlineMillis());
        SoakRequest request = new SoakRequest(Integer.toHexString(nextId++), method.name(), deadline);
        requests.add(request);
        return request;
    }

    /** A connection without a request, the most recently used first; or a new one; null where too many are open. */
    private Connection takeConnection() {
        Connection connection = random.nextInt(4) == 0 ? idle.pollFirst() : idle.pollLast();
        if (connection == null && open.size() < MAX_CONNECTIONS + plan.crowd()) {
            connection = new Connection(false);
            connect(connection);
        }
        return connection;
    }

    private void connect(Connection connection) {
        open.add(connection);
        new Bootstrap().group(group).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(FrameDecoder.forServer(1 << 20), connection);
                    }
                }).connect(address).addListener(connected -> {
                    if (!connected.isSuccess()) {
                        connection.refused();
                    }
                });
    }

    /** One client connection; its requests are answered in their order. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final boolean restsAlways;
        private final ArrayDeque<SoakRequest> outstanding = new ArrayDeque<>();
        private Channel channel; // null until connected
        private boolean startupAnswered;
        private boolean left;
        private boolean abandoned; // the run is over
        private boolean sendingPart; // the first part of a message is sent, and the rest is not

        Connection(boolean restsAlways) {
            this.restsAlways = restsAlways;
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            ByteBuf out = Messages.startupMessage(channel.alloc().buffer(), "portal", "crm");
            outstanding.forEach(request -> Messages.query(out, request.statement()));
            channel.writeAndFlush(out);
            outstanding.forEach(request -> request.sentAt = System.nanoTime());
        }

        void send(SoakRequest request) {
            outstanding.addLast(request);
            if (channel == null || sendingPart) {
                return; // sent once connected, or behind the rest of the message under way
            }
            ByteBuf message = Messages.query(channel.alloc().buffer(), request.statement());
            if (random.nextDouble() < SPLIT_PART) {
                sendInParts(request, message);
            } else {
                write(request, message);
            }
        }

        private void write(SoakRequest request, ByteBuf message) {
            channel.writeAndFlush(message);
            request.sentAt = System.nanoTime();
        }

        private void sendInParts(SoakRequest first, ByteBuf message) {
            sendingPart = true;
            channel.writeAndFlush(message.readRetainedSlice(1 + random.nextInt(message.readableBytes() - 1)));
            loop.schedule(() -> {
                sendingPart = false;
                if (!channel.isActive()) {
                    message.release();
                    return;
                }
                write(first, message);
                for (SoakRequest later : outstanding) {
                    if (later.sentAt == 0) {
                        write(later, Messages.query(channel.alloc().buffer(), later.statement()));
                    }
                }
            }, random.nextInt(300), TimeUnit.MILLISECONDS);
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            Frame frame = (Frame) message;
            try {
                SoakRequest request = startupAnswered ? outstanding.peekFirst() : null;
                if (request != null) {
                    request.partlyAnswered = true;
                    if (frame.type == 'E') {
                        request.sqlState = frame.errorFields().getOrDefault('C', "?");
                    } else if (frame.type == 'D') {
                        request.value = frame.stringAt(6);
                    }
                }
                if (frame.type == 'Z') {
                    readyForQuery(request);
                }
            } finally {
                frame.release();
            }
        }

        private void readyForQuery(SoakRequest answered) {
            startupAnswered = true;
            if (answered != null) {
                outstanding.pollFirst();
                end(answered, SoakRequest.End.ANSWERED);
            }
            if (!outstanding.isEmpty()) {
                outstanding.peekFirst().previousAnsweredAt = System.nanoTime();
            }
            if (outstanding.isEmpty() && !restsAlways && !left) {
                idle.addLast(this);
            }
        }

        void leave() {
            if (channel != null && channel.isActive() && !left) {
                left = true;
                outstanding.forEach(request -> end(request, SoakRequest.End.LEFT));
                outstanding.clear();
                channel.close();
            }
        }

        void refused() {
            open.remove(this);
            outstanding.forEach(request -> end(request, SoakRequest.End.UNSENT));
            reopenIfResting();
        }

        private void reopenIfResting() {
            if (restsAlways && !stopped) {
                loop.schedule(() -> connect(new Connection(true)), CROWD_REOPEN_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(this);
            idle.remove(this);
            if (abandoned) {
                return;
            }
            for (SoakRequest request : outstanding) {
                if (request.sentAt == 0) {
                    end(request, SoakRequest.End.UNSENT);
                } else {
                    end(request, SoakRequest.End.CLOSED);
                    loop.schedule(() -> resend(request), RESEND_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                }
            }
            reopenIfResting();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A request that the gateway may not have read when it closed the connection is sent once more, on a new one. */
    private void resend(SoakRequest request) {
        if (!arrivals.of(request.id).isEmpty() || request.partlyAnswered || request.resent) {
            return;
        }
        request.resent = true;
        request.end = SoakRequest.End.NONE;
        Connection connection = new Connection(false);
        connection.outstanding.add(request);
        connect(connection);
    }

    private static void end(SoakRequest request, SoakRequest.End end) {
        request.end = end;
        request.endedAt = System.nanoTime();
    }
}
