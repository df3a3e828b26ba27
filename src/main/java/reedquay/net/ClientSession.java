package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import reedquay.core.Method;
import reedquay.core.Rpc;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/** One client's connection: handles its messages in order and has at most one RPC in flight. Times in nanoseconds. */
final class ClientSession extends ChannelInboundHandlerAdapter implements InputOwner {
    /**
     * The states of a session. AWAITING_READINESS: an empty query waits until the gateway is ready; IN_FLIGHT: an RPC
     * is in flight; SKIPPING_TO_SYNC: after an extended-query message, all messages up to the Sync are skipped.
     */
    private enum State { STARTUP, IDLE, AWAITING_READINESS, IN_FLIGHT, SKIPPING_TO_SYNC, CLOSING }

    /** How many messages of one client are handled before other clients are served. */
    private static final int MAX_MESSAGES_BEFORE_YIELD = 16;
    private static final long DEPARTURE_CHECK_NANOS = 1_000_000; // more than one pass of the event loop

    final FrameDecoder decoder = FrameDecoder.forClient(Limits.MAX_MESSAGE_BYTES);
    private final Gateway gateway;
    private final Dispatcher dispatcher;
    private final MessageQueue queued;
    private State state = State.STARTUP;
    private Channel channel;
    private Rpc rpc;
    private Statement statement;
    private boolean draining;
    private boolean registered;
    private boolean commandReceived; // a message was received after the startup
    private long connectedAt;
    private String inputError; // why its input is malformed; sent once all earlier messages are answered
    /** The last time at which no message was incomplete; until the startup message, the time of connecting. */
    private long lastProgressAt;
    private int accountedBytes; // what an incomplete message reserves, as last reported
    private int messagesSinceYield;
    private boolean resumeScheduled;
    private Map<String, String> startupParameters; // null where no client identifier is configured
    private String clientAddress;
    private CloseReason closeReason; // null while the connection is open
    private CloseReason abandonReason; // why the session ends, so that statements are refused; null while it goes on
    /** For how long, at most, what this client has sent so far waited to be read; 0 once its later input is read. */
    private long backlogWait;
    private boolean departureCheckScheduled;
    private boolean departureChecked; // after a wait it is known that the client has not closed meanwhile
    private boolean reading; // input that has been received is being decoded, so that more messages may follow

    ClientSession(Gateway gateway, Dispatcher dispatcher) {
        this.gateway = gateway;
        this.dispatcher = dispatcher;
        queued = new MessageQueue(dispatcher.limits.statementMemory);
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        registered = true;
        connectedAt = dispatcher.clock.now();
        lastProgressAt = connectedAt;
        backlogWait = gateway.maxBacklogWait();
        departureChecked = backlogWait == 0;
        dispatcher.counters.add("client.accepted");
        gateway.sessionOpened(this);
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        dispatcher.workBegins();
        Frame frame = (Frame) message;
        reading = true;
        if (state != State.STARTUP) {
            lastProgressAt = gateway.lastSweepAt();
        }
        queued.add(frame);
        processQueue();
        queued.accountNewest();
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        closeIfDrained();
        closeIfAbandoned();
        ctx.flush();
        accountUnfinishedInput();
    }

    /** Accounts for the buffer that the decoder holds now; a session that is not registered has none. */
    private void accountUnfinishedInput() {
        if (decoder.reservedBytes() != accountedBytes) {
            accountedBytes = decoder.reservedBytes();
            dispatcher.setUnfinishedInput(this, accountedBytes);
        }
    }

    @Override public void rejectUnfinishedInput() {
        dispatcher.counters.add("client.closed.partial");
        accountedBytes = 0;
        decoder.discardInput(); // also where the session closes already
        rejectInput("a message begun while memory is short");
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        processQueue();
    }

    /** Handles queued messages until an RPC is in flight, the client stops reading, or others are to be served. */
    private void processQueue() {
        if (!departureChecked) {
            checkDeparture();
            return;
        }
        while (!queued.isEmpty() && state != State.IN_FLIGHT && state != State.AWAITING_READINESS
                && (channel.isWritable() || abandonReason != null || state == State.CLOSING)) {
            // hundreds of commands at once must not delay other clients
            if (++messagesSinceYield > MAX_MESSAGES_BEFORE_YIELD) {
                if (!resumeScheduled) {
                    resumeScheduled = true;
                    channel.eventLoop().execute(this::resumeAfterYield);
                }
                gateway.setIdle(this, false);
                return;
            }
            gateway.setIdle(this, false); // before any callback of this message can look for a session to close
            Frame frame = queued.poll();
            try {
                handle(frame);
            } finally {
                frame.release();
            }
        }
        boolean allAnswered = queued.isEmpty() && state != State.IN_FLIGHT && state != State.AWAITING_READINESS;
        if (allAnswered && inputError != null && state != State.CLOSING) {
            sendFatalError("08P01", inputError);
        }
        if (state == State.CLOSING) {
            return; // further input is discarded
        }
        // reading is paused for a client that pipelines too much or reads no answers
        channel.config().setAutoRead(queued.bytes() <= dispatcher.limits.maxQueuedBytes);
        closeIfDrained();
        gateway.setIdle(this, state == State.IDLE && queued.isEmpty());
    }

    /**
     * Waits until the end of the input would have been read too. Prevents call-outs for a client that has left, which
     * happen when its connection waited to be accepted until after its end: the statement is read first, the end later.
     */
    private void checkDeparture() {
        if (!queued.isEmpty() && !departureCheckScheduled) {
            departureCheckScheduled = true;
            channel.eventLoop().schedule(() -> {
                SocketInput.readNow(channel); // the end may stand behind more input, and neither be read yet
                SocketInput.readNow(channel);
                departureChecked = true;
                resume();
                backlogWait = 0;
            }, DEPARTURE_CHECK_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void resumeAfterYield() {
        resumeScheduled = false;
        messagesSinceYield = 0;
        resume();
    }

    /**
     * Closes a connection that holds resources without use: a client that sends nothing, one whose message never ends,
     * and one that still sends after a fatal error. lingerTimeout: how long the last of these may go on sending.
     */
    void sweep(long now, long lingerTimeout) {
        if (state == State.CLOSING) {
            // without an input error the longer timeout applies, since a last answer may still be in transit
            if (now - lastProgressAt >= (inputError == null ? Limits.UNUSED_TIMEOUT_NANOS : lingerTimeout)) {
                closing(CloseReason.LINGER);
                channel.close();
            }
        } else if (state != State.STARTUP && !decoder.hasPartialMessage() || !channel.config().isAutoRead()) {
            lastProgressAt = now;
        } else if (now - lastProgressAt >= Limits.UNUSED_TIMEOUT_NANOS) {
            if (decoder.hasPartialMessage()) {
                rejectInput("a message that does not end");
            } else {
                closing(CloseReason.SILENT);
                channel.close();
            }
        }
    }

    /** The bytes of answers that are not written yet, since the client has not read the ones before. */
    long unreadOutputBytes() {
        ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
        return unwritten == null ? 0 : unwritten.totalPendingWriteBytes();
    }

    long connectedAt() {
        return connectedAt;
    }

    /**
     * Whether the client has sent something that is not answered yet: an RPC in flight, a message that waits, or a part
     * of a message after the startup. Such a session is never closed to free resources.
     */
    boolean owesAnswer() {
        return hasUnansweredMessage() || reading || state != State.STARTUP && decoder.bufferedBytes() > 0;
    }

    private boolean hasUnansweredMessage() {
        return state == State.IN_FLIGHT || state == State.AWAITING_READINESS || !queued.isEmpty();
    }

    /**
     * Reads nothing more from this client, whose input is malformed. The error is sent once all earlier messages are
     * answered, since an RPC in flight still gets its answer.
     */
    void rejectInput(String error) {
        if (inputError == null && state != State.CLOSING) {
            inputError = error;
            decoder.discardInput();
            accountUnfinishedInput();
            processQueue();
            channel.flush();
        }
    }

    private void handle(Frame frame) {
        if (state == State.CLOSING) {
            boolean owed = frame.type == 'Q' && closeReason != null && closeReason.requiresAllAnswered;
            dispatcher.counters.add("client.discarded", owed ? 1 : 0);
            return;
        }
        if (frame.type == Frame.UNTYPED) {
            handleStartup(frame);
            return;
        }
        if (!commandReceived) {
            commandReceived = true;
            gateway.commandReceived(this);
        }
        switch (frame.type) {
            case 'Q' -> {
                if (state != State.SKIPPING_TO_SYNC) {
                    handleQuery(frame);
                }
            }
            case 'X' -> closeAfterFlush(CloseReason.TERMINATE);
            case 'P', 'B', 'D', 'E', 'C', 'F' -> {
                if (state != State.SKIPPING_TO_SYNC) {
                    write(Messages.errorResponse(buffer(), "ERROR", "0A000", "only simple queries are served", null));
                    state = State.SKIPPING_TO_SYNC;
                }
            }
            case 'S' -> {
                state = State.IDLE;
                write(Messages.readyForQuery(buffer()));
            }
            case 'H', 'd', 'c', 'f' -> { }
            default -> sendFatalError("08P01", "a message that has no meaning here");
        }
    }

    private void handleStartup(Frame frame) {
        switch (frame.startupCode()) {
            case Frame.SSL_REQUEST, Frame.GSS_ENCRYPTION_REQUEST -> write(buffer().writeByte('N'));
            case Frame.CANCEL_REQUEST -> closeAfterFlush(CloseReason.CANCEL);
            default -> {
                if (frame.startupCode() >>> 16 != 3) {
                    sendFatalError("0A000", "only version 3 of the protocol is served");
                    return;
                }
                state = State.IDLE;
                startupParameters = gateway.clientIdentifier() == null ? null : frame.startupParameters();
                gateway.startupReceived(this);
                write(Messages.readyForQuery(Messages.startupResponse(buffer(), 1, 1)));
            }
        }
    }

    private void handleQuery(Frame frame) {
        if (MessageQueue.isDropped(frame)) {
            refuseForMemory();
            return;
        }
        if (frame.bodyStartsWith("/*")) { // the usual case
            startRpc(frame);
            return;
        }
        String text = frame.stringAt(0);
        String command = text.length() > 64 ? "" : text.strip().replaceAll("[;\\s]+$", "").toUpperCase(Locale.ROOT);
        if (command.isEmpty() && text.length() <= 64) {
            state = State.AWAITING_READINESS;
            gateway.whenReady(this::answerEmptyQuery);
        } else if (command.equals("SHOW COUNTERS")) {
            sendCounters();
        } else if (command.matches("SHOW [A-Z]+")
                && gateway.showTable(command.substring(5).toLowerCase(Locale.ROOT)) != null) {
            List<String[]> table = gateway.showTable(command.substring(5).toLowerCase(Locale.ROOT));
            sendTable(table.subList(1, table.size()), table.get(0));
        } else if (command.matches("(SET|RESET|DISCARD)( .*)?")) {
            write(Messages.readyForQuery(Messages.commandComplete(buffer(), command.replaceAll(" .*", ""))));
        } else {
            startRpc(frame);
        }
    }

    private void answerEmptyQuery() {
        if (state == State.AWAITING_READINESS) {
            state = State.IDLE;
            write(Messages.readyForQuery(Messages.emptyQueryResponse(buffer())));
            processQueue();
            channel.flush();
        }
    }

    private void sendCounters() {
        List<String[]> rows = new ArrayList<>();
        dispatcher.allCounters().forEach((name, value) -> rows.add(new String[] {name, value.toString()}));
        sendTable(rows, "name", "value");
    }

    private void sendTable(List<String[]> rows, String... names) {
        ByteBuf out = Messages.rowDescription(buffer(), names);
        rows.forEach(row -> Messages.dataRow(out, row));
        write(Messages.readyForQuery(Messages.commandComplete(out, "SELECT " + rows.size())));
    }

    private void startRpc(Frame frame) {
        if (abandonReason != null) {
            write(refusal());
            return;
        }
        Statement parsed;
        try {
            parsed = new Statement(frame);
            Method method = dispatcher.method(parsed.method);
            if (method == null) {
                throw new Statement.InvalidStatementException("no class has that name");
            }
            parsed.validateFor(method);
            if (dispatcher.isInFlight(parsed.id)) {
                throw new Statement.InvalidStatementException("the id is that of an RPC that is open");
            }
        } catch (Statement.InvalidStatementException e) {
            dispatcher.counters.add("client.unfit");
            dispatcher.logOnce("rejected a client's statement that cannot be routed: " + e.getMessage());
            write(Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", "42601", e.getMessage(), null)));
            return;
        }
        if (!dispatcher.limits.statementMemory.tryHold(parsed.group, parsed.tenant, MessageQueue.memoryCost(frame))) {
            refuseForMemory();
            return;
        }
        frame.retain(); // released with the final answer
        statement = parsed;
        state = State.IN_FLIGHT;
        rpc = dispatcher.acceptRpc(this, statement, backlogWait, gateway.clientIdentifier());
        Rpc started = rpc;
        dispatcher.submitInput(engine -> engine.rpcArrived(started));
    }

    /** Answers a statement that memory is short for; nothing of it has run. */
    private void refuseForMemory() {
        if (abandonReason != null) {
            write(refusal());
            return;
        }
        dispatcher.counters.add("client.refused.memory");
        write(Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", "53300",
                "no memory for this statement now; trying again is harmless",
                Dispatcher.retryAfterMillis(dispatcher.settings().standardRetryAfter()))));
    }

    /**
     * Whether the client is still connected; reads the socket, where the client's end may be unread. The gateway may
     * have been held up since it last read it.
     */
    boolean isStillConnected() {
        if (!reading && channel.config().isAutoRead()) { // else input is just being read, or may not be taken in now
            SocketInput.readNow(channel);
        }
        return channel.isActive();
    }

    /** The id of the connection, unique among those that are open. */
    String connectionId() {
        return channel.id().asShortText();
    }

    /** The client's IP address, without the port. */
    String clientAddress() {
        if (clientAddress == null && channel.remoteAddress() instanceof InetSocketAddress remote) {
            clientAddress = remote.getAddress().getHostAddress();
        }
        return clientAddress;
    }

    /** A parameter of the startup message; null where it has none of that name or parameters are not kept. */
    String startupParameter(String name) {
        return startupParameters == null ? null : startupParameters.get(name);
    }

    Statement statement() {
        return statement;
    }

    /** Sends the final answer: the messages of the member, unchanged. */
    void sendResult(List<Frame> frames) {
        frames.forEach(f -> channel.write(f.content().retain()));
        finishRpc(Messages.readyForQuery(buffer()));
    }

    /** Sends the final answer as an error; retryAfterMillis: the retry-after, null for none. */
    void sendError(String code, String message, String retryAfterMillis) {
        finishRpc(Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", code, message, retryAfterMillis)));
    }

    private void finishRpc(ByteBuf response) {
        channel.writeAndFlush(response);
        clearRpc();
        state = State.IDLE;
        // prevents an RPC from starting within the batch in which the previous one was answered
        dispatcher.runAfterBatch(this::resume);
    }

    /** Handles queued messages again, or resumes reading. */
    void resume() {
        if (channel.isActive()) {
            processQueue();
            channel.flush();
        }
    }

    private void clearRpc() {
        rpc = null;
        if (statement != null) {
            dispatcher.limits.statementMemory.release(statement.group, statement.tenant,
                    MessageQueue.memoryCost(statement.frame));
            statement.frame.release();
            statement = null;
        }
    }

    /** From now on the session closes as soon as its client is owed no answer. */
    void drain() {
        draining = true;
        if (state == State.AWAITING_READINESS) {
            state = State.IDLE;
            write(refusal());
            resume();
        }
        closeIfDrained();
    }

    private void closeIfDrained() {
        if (draining && (state == State.IDLE || state == State.STARTUP) && !owesAnswer()) {
            closeAfterFlush(CloseReason.DRAIN);
        }
    }

    /**
     * Closes the connection because the gateway stops or the session has failed. The RPC in flight is answered as
     * failed, since it may have run, and statements that wait are refused.
     */
    void abandon(CloseReason reason) {
        if (abandonReason != null || state == State.CLOSING) {
            return;
        }
        abandonReason = reason;
        if (rpc != null) {
            dispatcher.abortUnanswered(rpc);
        } else if (state == State.IN_FLIGHT) { // it failed before it became an RPC
            sendError("58000", "the statement failed and may have run", null);
        } else if (state == State.AWAITING_READINESS) {
            state = State.IDLE;
            write(refusal());
        }
        departureChecked = true;
        messagesSinceYield = Integer.MIN_VALUE; // there is no later turn
        processQueue();
        closeIfAbandoned();
    }

    private void closeIfAbandoned() {
        if (abandonReason != null && !reading && state != State.CLOSING) {
            closeAfterFlush(abandonReason);
        }
    }

    /** The answer to a statement that this gateway does not handle any more; nothing of it has run. */
    private ByteBuf refusal() {
        return Messages.readyForQuery(
                Messages.errorResponse(buffer(), "ERROR", "57P03", "the gateway is shutting down", null));
    }

    /**
     * Counts and traces the reason for which the connection closes; the first one counts. A close by the gateway's own
     * will while the client is owed an answer also counts as client.closed.owing.
     */
    private void closing(CloseReason reason) {
        if (closeReason != null) {
            return;
        }
        closeReason = reason;
        dispatcher.counters.add(reason.counter());
        dispatcher.counters.add("client.closed.owing", reason.requiresAllAnswered && hasUnansweredMessage() ? 1 : 0);
        dispatcher.sessionClosing(connectionId(), reason, rpc);
    }

    /** Closes the connection once all output is written. */
    void closeAfterFlush(CloseReason reason) {
        closing(reason);
        state = State.CLOSING;
        channel.config().setAutoRead(false); // what is not read by now, the client can send again elsewhere
        lastProgressAt = dispatcher.clock.now();
        channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Sends a FATAL error and ends the outgoing side; input is discarded up to a limit of bytes and, by the sweep, of
     * time. Prevents loss of the error, which happens when a connection is closed at once: with unread bytes it is
     * reset, and the reset can overtake the error.
     */
    private void sendFatalError(String code, String message) {
        dispatcher.counters.add("client.malformed");
        closing(CloseReason.MALFORMED);
        dispatcher.logOnce("a client violated the protocol: " + message);
        state = State.CLOSING;
        lastProgressAt = dispatcher.clock.now();
        decoder.discardInput();
        accountUnfinishedInput();
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
        closing(CloseReason.CLIENT);
        state = State.CLOSING;
        accountUnfinishedInput();
        queued.clear();
        if (rpc != null) {
            Rpc abandoned = rpc;
            clearRpc();
            dispatcher.clientDisconnected(abandoned);
        }
        if (registered) {
            registered = false;
            gateway.sessionClosed(this);
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof java.io.IOException) {
            closing(CloseReason.BROKEN);
            ctx.close();
        } else if (cause instanceof DecoderException) {
            rejectInput("what is no message, or one of an impossible length");
        } else { // any other failure ends this session alone
            dispatcher.counters.add("client.failed");
            dispatcher.logOnce("a client session failed: " + cause);
            abandon(CloseReason.FAILED);
        }
    }

    private ByteBuf buffer() {
        return channel.alloc().buffer(128);
    }

    private void write(ByteBuf out) {
        channel.write(out);
    }
}
