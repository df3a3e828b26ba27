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
 * An open load over sockets: requests come when a seeded script says, whatever has been answered, and a latency counts
 * from that moment, so that a stall is seen by all that would have come in it. One event loop; a connection carries one
 * RPC at a time, and there are as many as it takes, up to a bound.
 */
@Command(name = "load", mixinStandardHelpOptions = true,
        description = "An open, seeded load over sockets, at a gateway or at one with toy members in this process.")
final class Load implements Callable<Integer> {
    @Option(names = "--at", paramLabel = "HOST:PORT", description = "a gateway; without it one is started here")
    private String at;
    @Option(names = "--config", defaultValue = "example/config.json", description = "of the gateway started here")
    private Path config;
    @Option(names = "--ops", description = "the operators' file of the gateway started here; none: the Router alone")
    private Path ops;
    @Option(names = "--work-us", defaultValue = "5000", description = "a statement's work at a toy replica")
    private long workMicros;
    @Option(names = "--per-second", defaultValue = "300", description = "requests of the even clients together")
    private double perSecond;
    @Option(names = "--clients", defaultValue = "48", description = "even clients")
    private int clients;
    @Option(names = "--greedy", defaultValue = "0", description = "requests a second of one client more")
    private double greedy;
    @Option(names = "--manner", defaultValue = "EAGER", description = "of the greedy one: ${COMPLETION-CANDIDATES}")
    private RetryPolicy manner;
    @Option(names = "--seconds", defaultValue = "10", description = "of load, after two of warming up")
    private int seconds;
    @Option(names = "--seed", defaultValue = "1", description = "of the script")
    private long seed;
    @Option(names = "--soft-ms", defaultValue = "500", description = "in time is within this")
    private long softMillis;
    @Option(names = "--connections", defaultValue = "300", description = "at the most")
    private int most;

    private static final int DEADLINE = 1200; // milliseconds, of the method history in the example

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final ArrayDeque<Link> idle = new ArrayDeque<>();
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();
    private InetSocketAddress address;
    private SplittableRandom random;
    private int open;
    private long ids = 0x1000;
    private long began;
    private long counted; // from when on requests count
    private long end;

    /** What one kind of client had. */
    private static final class Had {
        final Histogram took = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);
        long requests;
        long inTime;
        long pushedBack;
        long failed;
        long told;
        long toldInTime;
    }

    private final Had even = new Had();
    private final Had much = new Had();

    private static final class Request {
        final String caller;
        final Had had;
        final RetryPolicy manner;
        final long meant; // when the script has it
        long asked; // this try
        int tries;
        boolean counts;
        boolean asTold;
        boolean done;

        Request(String caller, Had had, RetryPolicy manner, long meant) {
            this.caller = caller;
            this.had = had;
            this.manner = manner;
            this.meant = meant;
            asked = meant;
        }
    }

    @Override public Integer call() throws Exception {
        StandIn world = null;
        Gateway gateway = null;
        if (at == null) {
            world = new StandIn(0, 200, "one", "two", "three");
            var json = com.google.gson.JsonParser.parseString(Files.readString(config)).getAsJsonObject();
            json.addProperty("listen", "127.0.0.1:0");
            json.addProperty("discovery", "127.0.0.1:" + world.discoveryAddress().getPort());
            Configuration told = Configuration.parse(json.toString());
            gateway = ops == null ? new Gateway(told) : new OperatorGateway(told, ops).gateway();
            address = gateway.start().join();
            world.server("two").workMicros = workMicros;
            world.server("three").workMicros = workMicros;
        } else {
            int colon = at.lastIndexOf(':');
            address = new InetSocketAddress(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
        }
        random = new SplittableRandom(seed);
        began = System.nanoTime();
        counted = began + 2_000_000_000L;
        end = counted + seconds * 1_000_000_000L;
        loop.execute(() -> {
            for (int i = 0; i < clients; i++) {
                next("even" + i, even, RetryPolicy.POLITE, perSecond / clients, began);
            }
            if (greedy > 0) {
                next("greedy", much, manner, greedy, began);
            }
        });
        TimeUnit.NANOSECONDS.sleep(end - System.nanoTime() + 3_000_000_000L);
        loop.submit(() -> {
            System.out.println("| clients | requests | in time | pushed back | came as told | of them in time |"
                    + " failed | ms 50% | 99 | 99.9 |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            row("even", even);
            if (greedy > 0) {
                row("greedy", much);
            }
        }).sync();
        if (gateway != null) {
            Map<String, Long> counters = gateway.counters().join();
            System.out.println("\ncounters " + counters);
            gateway.stop().join();
            world.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return 0;
    }

    private void row(String name, Had had) {
        System.out.printf(Locale.ROOT, "| %s | %,d | %.4f | %,d | %,d | %.3f | %,d | %.1f | %.1f | %.1f |%n", name,
                had.requests, had.inTime / (double) Math.max(1, had.requests), had.pushedBack, had.told,
                had.told == 0 ? 1 : had.toldInTime / (double) had.told, had.failed,
                had.took.getValueAtPercentile(50) / 1e3, had.took.getValueAtPercentile(99) / 1e3,
                had.took.getValueAtPercentile(99.9) / 1e3);
    }

    // ---- The script ----

    private void next(String caller, Had had, RetryPolicy how, double rate, long after) {
        long meant = after + (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
        if (meant >= end) {
            return;
        }
        loop.schedule(() -> {
            Request r = new Request(caller, had, how, meant);
            r.counts = meant >= counted;
            had.requests += r.counts ? 1 : 0;
            ask(r);
            next(caller, had, how, rate, meant);
        }, Math.max(0, meant - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void ask(Request r) {
        r.tries++;
        Link link = idle.pollLast();
        if (link != null) {
            link.send(r);
        } else {
            waiting.addLast(r);
            if (open < most) {
                connect();
            }
        }
    }

    private void connect() {
        open++;
        new Bootstrap().group(group).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(FrameDecoder.forServer(1 << 20), new Link());
                    }
                }).connect(address).addListener(f -> open -= f.isSuccess() ? 0 : 1);
    }

    private void ended(Request r, boolean ok, String code, long after) {
        long now = System.nanoTime();
        boolean inTime = ok && now - r.asked <= softMillis * 1_000_000;
        if (r.counts && ok) {
            r.had.took.recordValue(Math.min(TimeUnit.SECONDS.toMicros(59), (now - r.meant) / 1000));
        }
        if (r.counts && inTime && !r.done) {
            r.done = true;
            r.had.inTime++;
        }
        if (r.counts && r.asTold) {
            r.had.toldInTime += inTime ? 1 : 0;
        }
        if (ok) {
            return;
        }
        boolean back = code.equals("53300") || code.equals("57P03");
        r.had.pushedBack += r.counts && back ? 1 : 0;
        r.had.failed += r.counts && !back ? 1 : 0;
        if (!back || now > end || r.manner != RetryPolicy.DEAF && r.tries > 3) {
            return;
        }
        boolean polite = r.manner == RetryPolicy.POLITE;
        long wait = !polite ? 1 : after > 0 ? after : softMillis;
        loop.schedule(() -> {
            r.asTold = polite && after > 0;
            r.had.told += r.counts && r.asTold ? 1 : 0;
            r.asked = System.nanoTime();
            ask(r);
        }, wait, TimeUnit.MILLISECONDS);
    }

    /** One connection. */
    private final class Link extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private Request request;
        private boolean up;
        private String error;
        private long after;

        @Override public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            ctx.writeAndFlush(Messages.startupMessage(ctx.alloc().buffer(), "portal", "crm"));
        }

        void send(Request r) {
            request = r;
            error = null;
            after = 0;
            ByteBuf out = channel.alloc().buffer(160);
            channel.writeAndFlush(Messages.query(out, "/* id=" + Long.toHexString(ids++) + ",c=history,t=acme,d="
                    + DEADLINE + (r.tries > 1 ? ",r=1" : "") + ",cluster=1 */ SELECT data FROM facts WHERE code = '"
                    + r.caller + "'"));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            Frame frame = (Frame) message;
            try {
                if (frame.type == 'E') {
                    Map<Character, String> fields = new HashMap<>(frame.errorFields());
                    error = fields.getOrDefault('C', "");
                    String detail = fields.getOrDefault('D', "0");
                    after = detail.matches("[0-9]{1,9}") ? Long.parseLong(detail) : 0;
                } else if (frame.type == 'Z') {
                    Request last = request;
                    request = null;
                    up = true;
                    free();
                    if (last != null) {
                        ended(last, error == null, error == null ? "" : error, after);
                    }
                }
            } finally {
                frame.release();
            }
        }

        private void free() {
            Request next = waiting.pollFirst();
            if (next != null) {
                send(next);
            } else {
                idle.addLast(this);
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            open--;
            idle.remove(this);
            if (request != null) {
                ended(request, false, "closed", 0);
            }
            if (!waiting.isEmpty() && up) {
                connect();
            }
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
