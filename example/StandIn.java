package example;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/**
 * A stand-in for a primary, its replicas and their discovery service, for trying out and testing a gateway. It
 * implements the parts of the published protocols that a gateway uses, and can inject faults. Everything runs on one
 * event loop of its own; ports are chosen by the system unless given.
 */
public final class StandIn implements AutoCloseable {
    private static final Pattern READ = Pattern.compile("SELECT data FROM facts WHERE code = '([^']*)'.*");
    private static final Pattern WRITE = Pattern.compile(
            "INSERT INTO facts \\(code, data\\) VALUES \\('([^']*)', '([^']*)'\\) RETURNING data.*");

    /** A row with the position of its commit. */
    private record CommittedRow(long position, String code, String data) { }

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<CommittedRow> commitLog = new ArrayList<>();
    private final Set<Channel> watches = new LinkedHashSet<>();
    private Channel discoveryListener;
    private final long heartbeatMillis;
    private long lastCommitPosition;
    private long generation;
    /** URIs of all watch requests so far, in the order of arrival. */
    public final List<String> watchRequests = new CopyOnWriteArrayList<>();
    /** Is told each complete statement when it arrives, with the member that received it; runs on the event loop. */
    public volatile BiConsumer<Server, String> statementListener = (server, statement) -> { };
    /** Whether discovery sends neither heartbeats nor the initial list to watches, which stay open. */
    public volatile boolean discoverySilent;

    /**
     * Starts one member for each name, of which the first is the primary, and discovery, on a port chosen by the system
     * if discoveryPort is 0. Watches get a heartbeat, an empty line, every heartbeatMillis.
     */
    public StandIn(int discoveryPort, long heartbeatMillis, String... names) {
        this.heartbeatMillis = heartbeatMillis;
        for (String name : names) {
            Server server = new Server(name, servers.isEmpty());
            servers.put(name, server);
            server.start(0);
        }
        moveDiscovery(discoveryPort);
        group.next().scheduleAtFixedRate(() -> {
            if (!discoverySilent) {
                watches.forEach(w -> writeLine(w, ""));
            }
        }, heartbeatMillis, heartbeatMillis, TimeUnit.MILLISECONDS);
    }

    /** Moves discovery to another port, 0 for any. The old port accepts no new watches; open watches stay open. */
    public void moveDiscovery(int port) {
        if (discoveryListener != null) {
            discoveryListener.close().syncUninterruptibly();
        }
        discoveryListener = listen(port, new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpServerCodec(), new Watch());
            }
        });
    }

    /** Returns the number of open watches. */
    public int openWatches() {
        int[] count = new int[1];
        runOnEventLoop(() -> count[0] = watches.size());
        return count[0];
    }

    /** Returns the member of that name, or null. */
    public Server server(String name) {
        return servers.get(name);
    }

    /** Returns the address that discovery listens on. */
    public InetSocketAddress discoveryAddress() {
        return (InetSocketAddress) discoveryListener.localAddress();
    }

    private Channel listen(int port, ChannelHandler handler) {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(handler).bind(new InetSocketAddress("127.0.0.1", port)).syncUninterruptibly().channel();
    }

    @Override public void close() {
        group.shutdownGracefully(0, 5, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Runs a change on the event loop and waits until it is done. */
    public void runOnEventLoop(Runnable change) {
        group.next().submit(change).syncUninterruptibly();
    }

    // ---- Members ----

    /** One member. Its public fields may be set at any time and take effect from the next statement on. */
    public final class Server {
        /** The member's name, which is its instance ID in discovery. */
        public final String name;
        /** Whether it is the primary. */
        public volatile boolean primary;
        /** How far a replica's position is behind the primary's, in milliseconds. */
        public volatile long lagMillis = 5;
        /**
         * The fault to inject: empty for none, an SQLSTATE to answer statements with, or one of these.
         * Connections: "crowded" refuses new ones with SQLSTATE 53300, "mute" never answers the startup message.
         * Statements: "silent" never answers (probes included), "reset" closes the connection on arrival, "half" closes
         * it between CommandComplete and ReadyForQuery, "garbage" answers with a message of an unknown type.
         * Malformed answers: "norow" lacks the row, "tworows" has a second row instead of CommandComplete, "backwards"
         * has the row before its description and no CommandComplete, "misfit" has a value longer than its row, "huge"
         * has a row message of a length near 2^31, "unended" has a string without its terminating zero,
         * "unfinished" stops within its row, and the connection stays open, "endless" reports settings without end.
         * Correct answers with an addition: "twice" repeats the answer, "noise" adds stray bytes, "future" reports a
         * position far in the future.
         */
        public volatile String fault = "";
        /** The lifecycle state in discovery: ready, draining or gone. */
        public volatile String lifecycle = "ready";
        /** The start time in discovery, in milliseconds since the epoch. */
        public volatile long startedAtMs;
        /** Work of a statement on the member's single core, in microseconds; 0 answers at once. */
        public volatile long workMicros;
        /** Maximum number of statements, with the running one; more are refused with SQLSTATE 53300. */
        public volatile int maxQueuedStatements = 1000;
        private int queuedStatements;
        private long freeAtNanos;
        /** Texts of all complete statements received so far, without probes. */
        public final List<String> statements = new CopyOnWriteArrayList<>();
        /** Texts of all probes received so far. */
        public final List<String> probes = new CopyOnWriteArrayList<>();
        /** Connections accepted so far. */
        public volatile int acceptedConnections;
        private final Set<Channel> openChannels = new LinkedHashSet<>();
        private Channel listener;
        private int port;
        private Channel lastAnswered; // the connection that carried the last answer
        private ByteBuf lastAnswer = Unpooled.EMPTY_BUFFER;

        Server(String name, boolean primary) {
            this.name = name;
            this.primary = primary;
        }

        /** Returns the number of open connections. */
        public int openConnections() {
            int[] count = new int[1];
            runOnEventLoop(() -> count[0] = openChannels.size());
            return count[0];
        }

        /** Listens on a port, 0 for one chosen by the system. */
        public void start(int newPort) {
            listener = listen(newPort, new ChannelInitializer<Channel>() {
                @Override protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(FrameDecoder.forClient(1 << 20), new Session(Server.this));
                }
            });
            port = ((InetSocketAddress) listener.localAddress()).getPort();
        }

        /** Returns the port that it listens on. */
        public int port() {
            return port;
        }

        /** Stops as if the process had died: refuses new connections and closes the open ones. */
        public void stop() {
            listener.close().syncUninterruptibly();
            closeConnections();
        }

        /** Closes all open connections, as a database server does with idle ones. */
        public void closeConnections() {
            runOnEventLoop(() -> new ArrayList<>(openChannels).forEach(Channel::close));
        }

        /** Sends the last answer a second time, on the connection that carried it. */
        public void repeatLastAnswer() {
            runOnEventLoop(() -> lastAnswered.writeAndFlush(lastAnswer.retainedDuplicate()));
        }

        /** Returns the replay position, in milliseconds since the epoch. */
        private long position() {
            long now = System.currentTimeMillis();
            return primary ? now : now - lagMillis;
        }
    }

    /** The member's side of a connection. */
    private final class Session extends ChannelInboundHandlerAdapter {
        private final Server server;

        Session(Server server) {
            this.server = server;
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            server.acceptedConnections++;
            server.openChannels.add(ctx.channel());
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            server.openChannels.remove(ctx.channel());
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            Frame frame = (Frame) message;
            try {
                if (frame.type == Frame.UNTYPED) {
                    if (server.fault.equals("crowded")) {
                        ctx.writeAndFlush(
                                Messages.errorResponse(ctx.alloc().buffer(), "FATAL", "53300", "crowded", null));
                        ctx.close();
                    } else if (!server.fault.equals("mute")) {
                        ctx.write(Messages.readyForQuery(Messages.startupResponse(ctx.alloc().buffer(), 1, 1)));
                    }
                } else if (frame.type == 'Q') {
                    handleQuery(ctx, frame.stringAt(0));
                } else {
                    ctx.close();
                }
                ctx.flush();
            } finally {
                frame.release();
            }
        }

        private void handleQuery(ChannelHandlerContext ctx, String text) {
            ByteBuf out = ctx.alloc().buffer();
            if (text.equals("SELECT 1") || text.equals("SHOW server_load")) {
                server.probes.add(text);
                if (server.fault.equals("silent")) {
                    out.release();
                    return;
                }
                writeResult(out, text.equals("SELECT 1") ? "1" : "x0=" + server.position() / 1000.0);
                ctx.write(Messages.readyForQuery(out));
                return;
            }
            if (text.isBlank()) {
                ctx.write(Messages.readyForQuery(Messages.emptyQueryResponse(out)));
                return;
            }
            server.statements.add(text);
            statementListener.accept(server, text);
            if (server.workMicros > 0) {
                queueStatement(ctx, out, text);
                return;
            }
            respond(ctx, out, text);
        }

        /** Answers a statement once its work and that of the statements queued before it is done. */
        private void queueStatement(ChannelHandlerContext ctx, ByteBuf out, String text) {
            if (server.queuedStatements >= server.maxQueuedStatements) {
                writeError(ctx, out, "53300");
                return;
            }
            server.queuedStatements++;
            long now = System.nanoTime();
            server.freeAtNanos = Math.max(now, server.freeAtNanos) + server.workMicros * 1000;
            ctx.executor().schedule(() -> {
                server.queuedStatements--;
                respond(ctx, out, text);
                ctx.flush();
            }, server.freeAtNanos - now, TimeUnit.NANOSECONDS);
        }

        /** Answers a statement, or fails to, according to the injected fault. */
        private void respond(ChannelHandlerContext ctx, ByteBuf out, String text) {
            switch (server.fault) {
                case "silent" -> out.release();
                case "reset" -> {
                    out.release();
                    ctx.close();
                }
                case "endless" -> {
                    out.release();
                    reportSettings(ctx);
                }
                case "garbage" -> ctx.write(out.writeByte('?').writeInt(77));
                case "", "half", "norow", "tworows", "backwards", "misfit", "huge", "unended", "unfinished", "twice",
                    "noise", "future" ->
                    execute(ctx, out, text.replaceFirst("^/\\*.*?\\*/\\s*", ""), text.startsWith("/*"));
                default -> writeError(ctx, out, server.fault);
            }
        }

        /** Sends reports of settings for as long as the connection is open. */
        private void reportSettings(ChannelHandlerContext ctx) {
            ByteBuf out = ctx.alloc().buffer();
            for (int i = 0; i < 200; i++) {
                Messages.parameterStatus(out, "node_role", "follower");
            }
            ctx.writeAndFlush(out).addListener(f -> {
                if (f.isSuccess()) {
                    ctx.executor().execute(() -> reportSettings(ctx));
                }
            });
        }

        private void writeError(ChannelHandlerContext ctx, ByteBuf out, String sqlState) {
            Messages.errorResponse(out, "ERROR", sqlState, "as told", null);
            ctx.write(Messages.readyForQuery(writePositionAndRole(out, server.position())));
        }

        /** Executes a statement and writes its answer, changed by the injected fault if there is one. */
        private void execute(ChannelHandlerContext ctx, ByteBuf out, String sql, boolean commented) {
            Matcher write = WRITE.matcher(sql);
            Matcher read = READ.matcher(sql);
            if (!commented || !write.matches() && !read.matches()) {
                writeError(ctx, out, "08P01");
            } else if (write.matches() && !server.primary) {
                writeError(ctx, out, "25006");
            } else {
                long position = server.position();
                String data = "";
                if (write.matches()) {
                    data = write.group(2);
                    position = lastCommitPosition = Math.max(position, lastCommitPosition + 1);
                    commitLog.add(new CommittedRow(position, write.group(1), data));
                } else {
                    for (CommittedRow committed : commitLog) {
                        data = committed.code.equals(read.group(1)) && committed.position <= position
                                ? committed.data : data;
                    }
                }
                int answerStart = out.writerIndex();
                writeResult(out, data);
                int descriptionLength = 5 + out.getInt(answerStart + 1) - 4;
                int rowStart = answerStart + descriptionLength;
                int completionStart = rowStart + 1 + out.getInt(rowStart + 1);
                switch (server.fault) {
                    case "norow" -> {
                        ByteBuf completion = out.copy(completionStart, out.writerIndex() - completionStart);
                        out.writerIndex(rowStart).writeBytes(completion);
                        completion.release();
                    }
                    case "tworows" -> {
                        ByteBuf row = out.copy(rowStart, completionStart - rowStart);
                        out.writerIndex(completionStart).writeBytes(row);
                        row.release();
                    }
                    case "backwards" -> {
                        ByteBuf original = out.copy(answerStart, out.writerIndex() - answerStart);
                        out.writerIndex(answerStart).writeBytes(original, descriptionLength, completionStart - rowStart)
                                .writeBytes(original, 0, descriptionLength);
                        original.release();
                    }
                    case "unfinished" -> {
                        ctx.write(out.writerIndex(completionStart - 1));
                        return;
                    }
                    case "misfit" -> out.setInt(rowStart + 7, out.getInt(rowStart + 7) + 1);
                    case "huge" -> out.setInt(rowStart + 1, Integer.MAX_VALUE - 9);
                    case "unended" -> out.setByte(out.writerIndex() - 1, 'x');
                    default -> { }
                }
                if (server.fault.equals("half")) {
                    ctx.writeAndFlush(out);
                    ctx.close();
                    return;
                }
                Messages.readyForQuery(writePositionAndRole(out, server.fault.equals("future") ? 1L << 60 : position));
                server.lastAnswer = Unpooled.copiedBuffer(out);
                server.lastAnswered = ctx.channel();
                ctx.write(out);
                if (server.fault.equals("twice") || server.fault.equals("noise")) {
                    ctx.writeAndFlush(server.fault.equals("twice") ? server.lastAnswer.retainedDuplicate()
                            : Unpooled.copyShort('D', 'x'));
                }
            }
        }

        private ByteBuf writePositionAndRole(ByteBuf out, long position) {
            Messages.parameterStatus(out, "node_role", server.primary ? "leader" : "follower");
            return Messages.parameterStatus(out, "replay_position", Long.toString(position));
        }

        private void writeResult(ByteBuf out, String value) {
            Messages.commandComplete(Messages.dataRow(Messages.rowDescription(out, "data"), value), "SELECT 1");
        }
    }

    // ---- Discovery ----

    /** Sends the current state of the named members, or of all if none is named, to all watches. */
    public void announce(String... names) {
        runOnEventLoop(() -> {
            generation++;
            String text = listJson(false, names.length == 0 ? servers.keySet().toArray(new String[0]) : names);
            watches.forEach(w -> writeLine(w, text));
        });
    }

    /** Sends a text to all watches unchanged, without adding a line end. */
    public void sendRaw(String text) {
        runOnEventLoop(() -> watches.forEach(w -> w.writeAndFlush(new DefaultHttpContent(
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)))));
    }

    /** Closes the connections of all watches. */
    public void closeWatches() {
        runOnEventLoop(() -> new ArrayList<>(watches).forEach(Channel::close));
    }

    /** Returns a list of the named members in discovery's JSON form; full: the list replaces earlier ones. */
    public String listJson(boolean full, String... names) {
        StringBuilder out = new StringBuilder("{\"generation\":" + generation + ",\"reset\":" + full
                + ",\"instances\":[");
        for (String name : names) {
            Server server = servers.get(name);
            out.append(out.charAt(out.length() - 1) == '[' ? "" : ",").append("{\"instanceId\":\"").append(name)
                    .append("\",\"hostPort\":\"127.0.0.1:").append(server.port).append("\",\"zone\":\"a\",\"cell\":1,")
                    .append("\"lifecycle\":\"").append(server.lifecycle).append("\",\"weight\":1.0,\"startedAtMs\":")
                    .append(server.startedAtMs).append(",\"role\":\"").append(server.primary ? "leader" : "follower")
                    .append("\",\"unknown\":[1,{}]}");
        }
        return out.append("]}").toString();
    }

    private static void writeLine(Channel watch, String text) {
        // in two chunks, since a network may split a line anywhere
        int half = text.length() / 2;
        watch.writeAndFlush(new DefaultHttpContent(
                Unpooled.copiedBuffer(text.substring(0, half), StandardCharsets.UTF_8)));
        watch.writeAndFlush(new DefaultHttpContent(
                Unpooled.copiedBuffer(text.substring(half) + "\n", StandardCharsets.UTF_8)));
    }

    /** Discovery's side of a watch. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpRequest request) {
                watchRequests.add(request.uri());
                var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
                ctx.writeAndFlush(head);
                if (!discoverySilent) {
                    writeLine(ctx.channel(), listJson(true, servers.keySet().toArray(new String[0])));
                }
                watches.add(ctx.channel());
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            watches.remove(ctx.channel());
        }
    }

    // ---- Command line ----

    private static final String HELP = "commands: stop NAME | start NAME | drain NAME | ready NAME | gone NAME |"
            + " lag NAME MS | fault NAME SQLSTATE, silent, reset, half, garbage or none | primary NAME | quit";

    /**
     * Runs a primary and two replicas, which are controlled by commands on standard input. The only argument is the
     * port of discovery, by default 8500.
     */
    public static void main(String[] args) throws IOException {
        int port = args.length > 0 ? Integer.parseInt(args[0]) : 8500;
        try (StandIn standIn = new StandIn(port, 2000, "one", "two", "three");
                BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            standIn.servers.values().forEach(s -> System.out.println(s.name + " listens on 127.0.0.1:" + s.port));
            System.out.println("discovery listens on " + standIn.discoveryAddress() + "\n" + HELP);
            for (String line = input.readLine(); line != null && !line.equals("quit"); line = input.readLine()) {
                System.out.println(standIn.runCommand(line.strip().split("\\s+")));
            }
        }
    }

    /** Runs one command and returns the text to print. */
    private String runCommand(String[] words) {
        Server server = words.length < 2 ? null : servers.get(words[1]);
        if (server == null || (words[0].equals("lag") || words[0].equals("fault")) && words.length < 3) {
            return HELP;
        }
        switch (words[0]) {
            case "stop" -> server.stop();
            case "start" -> {
                server.start(server.port);
                server.startedAtMs = System.currentTimeMillis();
            }
            case "drain", "ready", "gone" -> server.lifecycle = words[0].equals("drain") ? "draining" : words[0];
            case "lag" -> server.lagMillis = Long.parseLong(words[2]);
            case "fault" -> server.fault = words[2].equals("none") ? "" : words[2];
            case "primary" -> servers.values().forEach(s -> s.primary = s == server);
            default -> {
                return HELP;
            }
        }
        announce();
        return "done";
    }
}
