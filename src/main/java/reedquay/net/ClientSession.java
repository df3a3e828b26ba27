package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import reedquay.core.Method;
import reedquay.core.Rpc;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/** One client's connection: takes its messages in order, one RPC in hand at a time. */
final class ClientSession extends ChannelInboundHandlerAdapter {
    private enum State { FIRST, FREE, BLOCKED, IN_HAND, SKIPPING, CLOSING }

    private static final int TURN = 16; // messages taken from one client before the others have their turn

    final FrameDecoder decoder = FrameDecoder.forClient(Limits.MAX_MESSAGE_BYTES);
    private final Gateway gateway;
    private final Dispatcher door;
    private final ArrayDeque<Frame> ahead = new ArrayDeque<>();
    private int aheadBytes;
    private State state = State.FIRST;
    private Channel channel;
    private Rpc rpc;
    private Statement statement;
    private boolean draining;
    private boolean counted;
    private boolean used; // something has come behind its startup
    private long connectedAt;
    private String refusal; // what is wrong with what it sent, told once all that came before is answered
    private long since; // when it was last seen to owe nothing; before its first message, when it came
    private int partial; // bytes of a message that is not whole
    private int turn;
    private boolean yielded;
    private Map<String, String> parameters; // of its startup, where somebody asks for them
    private String clientAddress;

    ClientSession(Gateway gateway, Dispatcher door) {
        this.gateway = gateway;
        this.door = door;
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        counted = true;
        connectedAt = door.clock.now();
        since = connectedAt;
        door.counters.add("client.accepted");
        gateway.sessionOpened(this);
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        Frame frame = (Frame) message;
        if (state != State.FIRST) {
            since = gateway.lastSweepAt();
        }
        ahead.addLast(frame);
        aheadBytes += Limits.memoryCost(frame);
        door.limits.addHeldBytes(Limits.memoryCost(frame));
        processQueue();
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.flush();
        setPartialBytes(decoder.bufferedBytes());
    }

    private void setPartialBytes(int bytes) {
        int more = bytes - partial;
        partial = bytes;
        if (counted) {
            gateway.addPartialBytes(more);
        }
    }

    int partialBytes() {
        return partial;
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        processQueue();
    }

    /** Works through what has come, as far as the one RPC in hand and a client that reads allow. */
    private void processQueue() {
        while (!ahead.isEmpty() && state != State.IN_HAND && state != State.BLOCKED
                && (channel.isWritable() || state == State.CLOSING)) {
            if (++turn > TURN) { // guards the others against hundreds of commands at once
                if (!yielded) {
                    yielded = true;
                    channel.eventLoop().execute(this::nextTurn);
                }
                gateway.setIdle(this, false);
                return;
            }
            Frame frame = ahead.pollFirst();
            aheadBytes -= Limits.memoryCost(frame);
            try {
                handle(frame);
            } finally {
                release(frame);
            }
        }
        boolean nothing = ahead.isEmpty() && state != State.IN_HAND && state != State.BLOCKED;
        if (nothing && refusal != null && state != State.CLOSING) {
            sendFatalError("08P01", refusal);
        }
        if (state == State.CLOSING) {
            return; // what still comes is passed over
        }
        // a client that sends ahead without end, or reads nothing, is not read from; nobody is while memory is short
        channel.config().setAutoRead(aheadBytes <= door.limits.maxQueuedBytes && !door.limits.isMemoryFull());
        if (draining && state == State.FREE && ahead.isEmpty()) {
            closeAfterFlush();
        }
        gateway.setIdle(this, state == State.FREE && ahead.isEmpty());
    }

    private void nextTurn() {
        yielded = false;
        turn = 0;
        resume();
    }

    /**
     * Guards against clients that take a place and give nothing: one that says nothing, one whose message never ends,
     * and one that was refused and still sends.
     */
    void sweep(long now, long linger) {
        if (state == State.CLOSING) {
            if (now - since >= (refusal == null ? Limits.UNUSED_TIMEOUT_NANOS : linger)) { // a last answer may still be on its way
                channel.close();
            }
        } else if (state != State.FIRST && !decoder.hasPartialMessage() || !channel.config().isAutoRead()) {
            since = now;
        } else if (now - since >= Limits.UNUSED_TIMEOUT_NANOS) {
            if (decoder.hasPartialMessage()) {
                rejectInput("a message that does not end");
            } else {
                door.counters.add("client.closed.silent");
                channel.close();
            }
        }
    }

    long connectedAt() {
        return connectedAt;
    }

    /** Whether it is not read from for want of memory. */
    boolean isPausedForMemory() {
        return !channel.config().isAutoRead() && aheadBytes <= door.limits.maxQueuedBytes && state != State.CLOSING;
    }

    /** What it sends can't be read from here on. Guards what came before: an RPC taken stays owed its answer. */
    void rejectInput(String kind) {
        if (refusal == null && state != State.CLOSING) {
            refusal = kind;
            decoder.discardInput();
            setPartialBytes(0);
            processQueue();
            channel.flush();
        }
    }

    private void handle(Frame frame) {
        if (state == State.CLOSING) {
            return;
        }
        if (frame.type == Frame.UNTYPED) {
            handleStartup(frame);
            return;
        }
        if (!used) {
            used = true;
            gateway.commandReceived(this);
        }
        switch (frame.type) {
            case 'Q' -> {
                if (state == State.SKIPPING) {
                    return;
                }
                handleQuery(frame);
            }
            case 'X' -> closeAfterFlush();
            case 'P', 'B', 'D', 'E', 'C', 'F' -> {
                if (state != State.SKIPPING) {
                    write(Messages.errorResponse(buffer(), "ERROR", "0A000", "only simple queries are served", null));
                    state = State.SKIPPING;
                }
            }
            case 'S' -> {
                state = State.FREE;
                write(Messages.readyForQuery(buffer()));
            }
            case 'H', 'd', 'c', 'f' -> { }
            default -> sendFatalError("08P01", "a message that has no meaning here");
        }
    }

    private void handleStartup(Frame frame) {
        switch (frame.startupCode()) {
            case Frame.SSL_REQUEST, Frame.GSS_ENCRYPTION_REQUEST -> write(buffer().writeByte('N'));
            case Frame.CANCEL_REQUEST -> closeAfterFlush();
            default -> {
                if (frame.startupCode() >>> 16 != 3) {
                    sendFatalError("0A000", "only version 3 of the protocol is served");
                    return;
                }
                state = State.FREE;
                parameters = gateway.clientIdentifier() == null ? null : frame.startupParameters();
                gateway.startupReceived(this);
                write(Messages.readyForQuery(Messages.startupResponse(buffer(), 1, 1)));
            }
        }
    }

    private void handleQuery(Frame frame) {
        if (frame.bodyStartsWith("/*")) { // nearly all of them
            startRpc(frame);
            return;
        }
        String head = frame.stringAt(0);
        String word = head.length() > 64 ? "" : head.strip().replaceAll("[;\\s]+$", "").toUpperCase(Locale.ROOT);
        if (word.isEmpty() && head.length() <= 64) {
            state = State.BLOCKED;
            gateway.whenReady(this::answerEmptyQuery);
        } else if (word.equals("SHOW COUNTERS")) {
            sendCounters();
        } else if (word.matches("SHOW [A-Z]+") && gateway.showTable(word.substring(5).toLowerCase(Locale.ROOT)) != null) {
            List<String[]> table = gateway.showTable(word.substring(5).toLowerCase(Locale.ROOT));
            sendTable(table.subList(1, table.size()), table.get(0));
        } else if (word.matches("(SET|RESET|DISCARD)( .*)?")) {
            write(Messages.readyForQuery(Messages.commandComplete(buffer(), word.replaceAll(" .*", ""))));
        } else {
            startRpc(frame);
        }
    }

    private void answerEmptyQuery() {
        if (state == State.BLOCKED) {
            state = State.FREE;
            write(Messages.readyForQuery(Messages.emptyQueryResponse(buffer())));
            processQueue();
            channel.flush();
        }
    }

    private void sendCounters() {
        List<String[]> rows = new ArrayList<>();
        door.allCounters().forEach((name, value) -> rows.add(new String[] {name, value.toString()}));
        sendTable(rows, "name", "value");
    }

    private void sendTable(List<String[]> rows, String... names) {
        ByteBuf out = Messages.rowDescription(buffer(), names);
        rows.forEach(row -> Messages.dataRow(out, row));
        write(Messages.readyForQuery(Messages.commandComplete(out, "SELECT " + rows.size())));
    }

    private void startRpc(Frame frame) {
        Statement next;
        try {
            next = new Statement(frame);
            Method method = door.method(next.method);
            if (method == null) {
                throw new Statement.InvalidStatementException("no class has that name");
            }
            next.validateFor(method);
            if (door.isInFlight(next.id)) {
                throw new Statement.InvalidStatementException("the id is that of an RPC that is open");
            }
        } catch (Statement.InvalidStatementException e) {
            door.counters.add("client.unfit");
            door.logOnce("a client sent what cannot be routed: " + e.getMessage());
            write(Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", "42601", e.getMessage(), null)));
            return;
        }
        frame.retain(); // until its final answer
        door.limits.addHeldBytes(Limits.memoryCost(frame));
        statement = next;
        state = State.IN_HAND;
        rpc = door.acceptRpc(this, statement, gateway.clientIdentifier());
        Rpc taken = rpc;
        door.submitInput(d -> d.rpcArrived(taken));
    }

    /** A name for this connection that no other has while it lives. */
    String connectionId() {
        return channel.id().asShortText();
    }

    /** Where it comes from, without the port. */
    String clientAddress() {
        if (clientAddress == null && channel.remoteAddress() instanceof InetSocketAddress from) {
            clientAddress = from.getAddress().getHostAddress();
        }
        return clientAddress;
    }

    String startupParameter(String name) {
        return parameters == null ? null : parameters.get(name);
    }

    Statement statement() {
        return statement;
    }

    /** The final answer as the member's bytes. */
    void sendResult(List<Frame> frames) {
        frames.forEach(f -> channel.write(f.content().retain()));
        finishRpc(Messages.readyForQuery(buffer()));
    }

    /** The final answer as an error; millis: when to come back, null for no advice. */
    void sendError(String code, String message, String millis) {
        finishRpc(Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", code, message, millis)));
    }

    private void finishRpc(ByteBuf last) {
        channel.writeAndFlush(last);
        clearRpc();
        state = State.FREE;
        // guards against an RPC that is taken from within the batch of decisions that answered the last one
        door.runAfterBatch(this::resume);
    }

    /** Goes on with what came ahead, or reads again. */
    void resume() {
        if (channel.isActive()) {
            processQueue();
            channel.flush();
        }
    }

    private void release(Frame frame) {
        door.limits.addHeldBytes(-Limits.memoryCost(frame));
        frame.release();
    }

    private void clearRpc() {
        rpc = null;
        if (statement != null) {
            release(statement.frame);
            statement = null;
        }
    }

    /** From now on the session closes as soon as it has nothing in hand. */
    void drain() {
        draining = true;
        if (state == State.FREE && ahead.isEmpty() || state == State.FIRST || state == State.BLOCKED) {
            closeAfterFlush();
        }
    }

    void closeAfterFlush() {
        state = State.CLOSING;
        since = door.clock.now();
        channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * The error goes out and the sending ends; what still comes is passed over within a bound of bytes and, by the
     * sweep, of time. Guards the error: closed at once, a connection with unread bytes is reset, which can overtake it.
     */
    private void sendFatalError(String code, String message) {
        door.counters.add("client.malformed");
        door.logOnce("a client sent what the protocol does not allow: " + message);
        state = State.CLOSING;
        since = door.clock.now();
        decoder.discardInput();
        setPartialBytes(0);
        channel.config().setAutoRead(true);
        channel.writeAndFlush(Messages.errorResponse(buffer(), "FATAL", code, message, null)).addListener(f -> {
            if (channel instanceof SocketChannel socket) {
                socket.shutdownOutput();
            } else {
                channel.close();
            }
        });
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        state = State.CLOSING;
        setPartialBytes(0);
        ahead.forEach(this::release);
        ahead.clear();
        if (rpc != null) {
            Rpc left = rpc;
            clearRpc();
            door.clientDisconnected(left);
        }
        if (counted) {
            counted = false;
            gateway.sessionClosed(this);
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof java.io.IOException) {
            ctx.close();
        } else if (cause instanceof DecoderException) {
            rejectInput("what is no message, or one of an impossible length");
        } else { // guards the others: whatever else went wrong here ends here
            door.counters.add("client.failed");
            door.logOnce("a session failed: " + cause.getClass().getSimpleName());
            ctx.close();
        }
    }

    private ByteBuf buffer() {
        return channel.alloc().buffer(128);
    }

    private void write(ByteBuf out) {
        channel.write(out);
    }
}
