package reedquay.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import reedquay.core.Method;
import reedquay.core.Settings;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/**
 * RPCs through a gateway of the same settings before the true one starts, to members that answer at once, all within
 * this process and on its own address. Guards the first seconds in service: on part of a core the JVM takes seconds to
 * compile what serving needs. A class archive made meanwhile makes the next start quick.
 */
public final class WarmUp {
    private static final int CLIENTS = 8;
    private static final int ROUNDS = 64; // each client sends one RPC of each method a round

    private WarmUp() { }

    /**
     * config: the JSON text of a fit configuration. Ends early where it takes as long as a start may wait. Returns the
     * counters of the gateway that rehearsed.
     */
    public static Map<String, Long> run(String config) throws IOException {
        JsonObject all = JsonParser.parseString(config).getAsJsonObject();
        String host = Configuration.parse(config).listen().getAddress().getHostAddress();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            JsonArray members = new JsonArray();
            for (boolean primary : new boolean[] {true, false, false}) {
                JsonObject member = new JsonObject();
                member.addProperty("instanceId", "m" + members.size());
                member.addProperty("hostPort", host + ":" + listen(group, host, primary));
                member.addProperty("cell", 1);
                member.addProperty("lifecycle", "ready");
                member.addProperty("role", primary ? "leader" : "follower");
                members.add(member);
            }
            JsonObject known = new JsonObject();
            known.add("instances", members);
            all.add("known", known);
            all.addProperty("listen", host + ":0");
            all.addProperty("discovery", members.get(0).getAsJsonObject().get("hostPort").getAsString());
            Configuration configuration = Configuration.parse(all.toString());
            Gateway gateway = new Gateway(configuration);
            try {
                sendRpcs(gateway.start().join(), configuration.settings().readSettings(0));
                return gateway.counters().join();
            } finally {
                gateway.halt();
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void sendRpcs(InetSocketAddress at, Settings settings) throws IOException {
        long end = System.nanoTime() + Gateway.startupTimeout(settings);
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                Socket client = new Socket(at.getAddress(), at.getPort());
                client.setSoTimeout((int) (Gateway.startupTimeout(settings) / 1_000_000));
                clients.add(client);
                client.getOutputStream().write(bytes(Messages.startupMessage(Unpooled.buffer(), "rehearsal", "rehearsal")));
                awaitReadyForQuery(client, 1);
            }
            int id = 0;
            for (int round = 0; round < ROUNDS && System.nanoTime() < end; round++) {
                for (Socket client : clients) {
                    ByteBuf out = Unpooled.buffer();
                    for (Method method : settings.methods()) {
                        Messages.query(out, "/* id=" + Integer.toHexString(++id) + ",c=" + method.name()
                                + ",t=rehearsal,d=" + method.deadline() / 1_000_000 + ",k=" + id + ",cluster=1 */ "
                                + (method.consistency() == Method.Consistency.WRITE ? "INSERT" : "SELECT") + " 'key'");
                    }
                    client.getOutputStream().write(bytes(out));
                }
                for (Socket client : clients) {
                    awaitReadyForQuery(client, settings.methods().size());
                }
            }
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    private static byte[] bytes(ByteBuf out) {
        byte[] bytes = ByteBufUtil.getBytes(out);
        out.release();
        return bytes;
    }

    /** Reads up to that many ReadyForQuery. */
    private static void awaitReadyForQuery(Socket client, int answers) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        for (int left = answers; left > 0; ) {
            left -= in.readByte() == 'Z' ? 1 : 0;
            in.skipNBytes(in.readInt() - 4);
        }
    }

    private static int listen(NioEventLoopGroup group, String host, boolean primary) {
        Channel listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(FrameDecoder.forClient(Limits.MAX_MESSAGE_BYTES), new ImmediateMember(primary));
                    }
                }).bind(host, 0).syncUninterruptibly().channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** A member that answers each statement at once. */
    private static final class ImmediateMember extends ChannelInboundHandlerAdapter {
        private final boolean primary;

        ImmediateMember(boolean primary) {
            this.primary = primary;
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            Frame frame = (Frame) message;
            ByteBuf out = ctx.alloc().buffer();
            if (frame.type == Frame.UNTYPED) {
                Messages.startupResponse(out, 1, 1);
            } else {
                Messages.commandComplete(Messages.dataRow(Messages.rowDescription(out, "data"), "value"), "SELECT 1");
                Messages.parameterStatus(out, "node_role", primary ? "leader" : "follower");
                Messages.parameterStatus(out, "replay_position", Long.toString(System.currentTimeMillis()));
            }
            frame.release();
            ctx.writeAndFlush(Messages.readyForQuery(out));
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // the watch on discovery comes here, since the rehearsal has none
        }
    }
}
