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
 * Warms up the JVM before a gateway starts: sends RPCs through another gateway with the same settings to members that
 * answer at once, all within this process and on its own address. Prevents a slow start of service, which happens when
 * the JVM has only part of a core and takes seconds to compile the code that serves RPCs. A class archive that is
 * written during the run also speeds up the next start. The commands rehearse and serve run it.
 */
public final class WarmUp {
    private static final int CLIENTS = 8;
    private static final int ROUNDS = 64; // in each, every client sends one RPC of each method

    private WarmUp() { }

    /**
     * Runs the warm-up and returns the counters of its gateway. config: the JSON text of a valid configuration. Ends
     * early after the time that a gateway's start may take.
     */
    public static Map<String, Long> run(String config) throws IOException {
        JsonObject root = JsonParser.parseString(config).getAsJsonObject();
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
            JsonObject memberList = new JsonObject();
            memberList.add("instances", members);
            root.add("known", memberList);
            root.addProperty("listen", host + ":0");
            root.addProperty("discovery", members.get(0).getAsJsonObject().get("hostPort").getAsString());
            Configuration configuration = Configuration.parse(root.toString());
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

    private static void sendRpcs(InetSocketAddress gatewayAddress, Settings settings) throws IOException {
        long end = System.nanoTime() + Gateway.startupTimeout(settings);
        List<Socket> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                Socket client = new Socket(gatewayAddress.getAddress(), gatewayAddress.getPort());
                client.setSoTimeout((int) (Gateway.startupTimeout(settings) / 1_000_000));
                clients.add(client);
                client.getOutputStream().write(
                        bytes(Messages.startupMessage(Unpooled.buffer(), "rehearsal", "rehearsal")));
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

    /** Reads from the client's connection until it has received count ReadyForQuery messages. */
    private static void awaitReadyForQuery(Socket client, int count) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        for (int remaining = count; remaining > 0; ) {
            remaining -= in.readByte() == 'Z' ? 1 : 0;
            in.skipNBytes(in.readInt() - 4);
        }
    }

    private static int listen(NioEventLoopGroup group, String host, boolean primary) {
        Channel listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(FrameDecoder.forClient(Limits.MAX_MESSAGE_BYTES),
                                new ImmediateMember(primary));
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
            ctx.close(); // the discovery watch ends here too: its address is a member's, since there is no discovery
        }
    }
}
