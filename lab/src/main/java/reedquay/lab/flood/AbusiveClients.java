package reedquay.lab.flood;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import reedquay.pg.Messages;

/** Clients that send messages of one kind at full speed; one that is turned away connects again at once. */
final class AbusiveClients implements AutoCloseable {
    private static final int THREADS = 3;
    private static final int SLOW_INTERVAL_MILLIS = 100;
    private static final int RECONNECT_MILLIS = 5;

    private final NioEventLoopGroup group = new NioEventLoopGroup(THREADS);
    private final InetSocketAddress address;
    private final FloodPlan plan;
    private final AtomicLong sequence = new AtomicLong(1);
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private volatile boolean over;

    AbusiveClients(InetSocketAddress address, FloodPlan plan) {
        this.address = address;
        this.plan = plan;
        for (int i = 0; i < plan.clients(); i++) {
            connect();
        }
    }

    private void connect() {
        if (over) {
            return;
        }
        new Bootstrap().group(group).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Client());
                    }
                }).connect(address).addListener(f -> {
                    if (!f.isSuccess()) {
                        reconnect();
                    }
                });
    }

    private void reconnect() {
        if (!group.isShuttingDown()) {
            group.schedule(this::connect, RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    long sentBytes() {
        return sentBytes.get();
    }

    long connections() {
        return connections.get();
    }

    /** Ends all connections in the way that the plan names. */
    @Override public void close() {
        over = true;
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class Client extends ChannelInboundHandlerAdapter {
        private ByteBuf slowRest;

        @Override public void channelActive(ChannelHandlerContext ctx) {
            connections.incrementAndGet();
            if (plan.ending() == FloodPlan.Ending.RESET) {
                ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            }
            ctx.channel().config().setAutoRead(plan.readsAnswers());
            if (!plan.kind().replacesStartup) {
                ctx.write(Messages.startupMessage(Unpooled.buffer(), "portal", "crm"));
            }
            ByteBuf first = plan.kind().next(sequence.incrementAndGet());
            if (plan.kind().isSlow()) {
                slowRest = first;
                sendSlowly(ctx);
            } else {
                send(ctx, first);
            }
        }

        private void send(ChannelHandlerContext ctx, ByteBuf messages) {
            sentBytes.addAndGet(messages.readableBytes());
            ctx.writeAndFlush(messages).addListener(f -> {
                if (f.isSuccess() && !over && !plan.kind().isHalf() && !plan.kind().replacesStartup) {
                    // as a task, so that one client does not keep its thread from the others
                    ctx.executor().execute(() -> send(ctx, plan.kind().next(sequence.incrementAndGet())));
                }
            });
        }

        private void sendSlowly(ChannelHandlerContext ctx) {
            if (ctx.channel().isActive() && !over && slowRest.isReadable()) {
                int bytes = Math.min(MessageKind.SLOW_BYTES, slowRest.readableBytes());
                sentBytes.addAndGet(bytes);
                ctx.writeAndFlush(slowRest.readRetainedSlice(bytes));
                ctx.executor().schedule(() -> sendSlowly(ctx), SLOW_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
            if (plan.kind().isAskedOnce()) {
                ctx.close(); // it has had its answer, and does the same again
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            reconnect();
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
