package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import reedquay.core.Method;
import reedquay.core.Rpc;
import reedquay.pg.ClientInput;
import reedquay.pg.Frame;
import reedquay.pg.Messages;
import reedquay.sessions.OpenRequestIds;
import reedquay.sessions.PendingClose;

/**
 * One client's connection: handles its messages in order and has at most one RPC in flight. What arrives is kept as
 * bytes; messages are handled when SessionWork serves the session. Times in nanoseconds.
 */
final class ClientSession extends ChannelInboundHandlerAdapter implements InputOwner {
    /**
     * The states of a session. AWAITING_READINESS: an empty query waits until the gateway is ready; CATCHING_UP: a
     * statement waits until all that its client has sent is read, so that the client's end would be known; IN_FLIGHT:
     * an RPC is in flight; SKIPPING_TO_SYNC: after an extended-query message, all messages up to the Sync are skipped.
     */
    private enum State { STARTUP, IDLE, AWAITING_READINESS, CATCHING_UP, IN_FLIGHT, SKIPPING_TO_SYNC, CLOSING }

    /** Whether a client is still there; UNKNOWN: more of its input is unread than can be read now. */
    enum Presence { CONNECTED, LEFT, UNKNOWN }

    private static final String MALFORMED_MESSAGE = "what is no message, or one of an impossible length";
    private static final String ANSWERED_TYPES = "QPBDECSF"; // the types of messages that get an answer
    private static final long DEPARTURE_CHECK_NANOS = 1_000_000; // more than one pass of the event loop
    private static final long MAX_CATCH_UP_NANOS = 50_000_000; // half the time in which a client's end must be noticed
    private static final long MIN_HELD_BACK_NANOS = 20_000_000; // with work left, until that is worth a note
    private static final long NONE_LEFT = Long.MIN_VALUE;
    private static final long NOT_STALLED = Long.MIN_VALUE;
    private static final int MAX_READS_FOR_PRESENCE = 16;
    private static final int MAX_READS_WHEN_BEHIND = 2; // where more is unread in any case, or the end is near
    private static final int MAX_UNSERVED_BYTES = 4096; // that wait only for the event loop, before reading is paused
    private static final long MAX_ABANDON_NANOS = 1_000_000;

    private final Gateway gateway;
    private final Dispatcher dispatcher;
    private final ClientInput input = new ClientInput(Limits.MAX_MESSAGE_BYTES);
    private ClientOutput output;
    private State state = State.STARTUP;
    private Channel channel;
    private Rpc rpc;
    private Statement statement;
    private boolean registered;
    private boolean countsAsIdle; // between statements, so that it may be closed for room
    private boolean startupUnreported; // the startup message was received, and more may wait behind it
    private boolean commandReceived; // a message was received after the startup
    private long connectedAt;
    private String inputError; // why its input is malformed; sent once all earlier messages are answered
    /** The last time at which no message was incomplete; until the startup message, the time of connecting. */
    private long lastProgressAt;
    private long lastRefusedInAll; // messages, at the last sweep
    private int openIds; // of statements that wait or are in flight, and were not open before
    private int queuedBytes; // what waiting messages take, as last accounted for
    private int unfinishedBytes; // what an incomplete message reserves, as last accounted for
    private long unreadBytes; // what unread answers take, as last accounted for
    private int bytesInRead; // received by the read of the socket that is running
    private boolean lastReadWasFull; // so that the socket may hold more
    private boolean lastReadWasEmpty;
    private boolean behind; // the socket may hold more, which is read when the session is served
    private long discardedBytes; // after a fatal error
    private long catchingUpSince;
    private HeldBack heldBack; // null while it is not
    private long workLeftSince = NONE_LEFT; // since then the event loop's time was never enough
    private long servedNanos; // the event loop's time that it has had
    private String identifyingParameter; // of the startup message; null where none identifies clients
    private String clientAddress;
    private CloseReason closeReason; // null while the connection is open
    /** Why the session closes as soon as its client is owed no answer; null while it goes on. */
    private CloseReason pendingCloseReason;
    private boolean awaitsWrite; // of its last answers, to close then
    private long outputStalledSince = NOT_STALLED; // while it is to close
    private final PendingClose pendingClose = new PendingClose(Limits.UNUSED_TIMEOUT_NANOS);
    private CloseReason abandonReason; // why the session ends, so that statements are refused; null while it goes on
    /** For how long, at most, what this client has sent so far waited to be read; 0 once that is handled. */
    private long backlogWait;
    private boolean departureCheckScheduled;
    private boolean departureChecked; // after a wait it is known that the client has not closed meanwhile

    ClientSession(Gateway gateway, Dispatcher dispatcher) {
        this.gateway = gateway;
        this.dispatcher = dispatcher;
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        output = new ClientOutput(channel);
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

    // ---- Input ----

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        dispatcher.workBegins();
        ByteBuf bytes = (ByteBuf) message;
        bytesInRead += bytes.readableBytes();
        lastReadWasFull = !bytes.isWritable();
        if (state == State.CLOSING || inputError != null) {
            discard(bytes);
            return;
        }
        try {
            if (!input.isRefusing() && mustRefuse(bytes.readableBytes())) {
                refuseFurtherInput();
            }
            input.add(bytes.retain());
            openNewIds();
        } catch (CorruptedFrameException e) {
            rejectInput(MALFORMED_MESSAGE);
        } finally {
            bytes.release();
        }
    }

    /** Whether what is read now may not be kept. */
    private boolean mustRefuse(int bytes) {
        return pendingClose.refusesInput(behind) || isBlocked() && !mayQueue(bytes);
    }

    /** Refuses the messages that are not complete yet; those that are keep their turn. */
    private void refuseFurtherInput() {
        try {
            input.refuseFurther();
            updateHeldBack(false);
        } catch (CorruptedFrameException e) {
            rejectInput(MALFORMED_MESSAGE);
        }
    }

    /** Notes the ids of the statements that were just read: they are open although their turn has not come. */
    private void openNewIds() {
        input.visitNew((type, buffer, start, end) -> {
            if (type == 'Q') {
                RequestIdScanner.scan(buffer, start, end, id -> openIds += dispatcher.openIds.open(id, this) ? 1 : 0);
            }
        });
    }

    /** The statement with that id has ended. */
    void closeId(long id) {
        openIds -= dispatcher.openIds.close(id, this) ? 1 : 0;
    }

    /** The ids of the messages that wait are not open any more, since these messages are to be dropped. */
    private void closeWaitingIds() {
        if (openIds > 0) {
            input.visitWaiting((type, buffer, start, end) -> {
                if (type == 'Q') {
                    RequestIdScanner.scan(buffer, start, end, this::closeId);
                }
            });
        }
    }

    private int openIdBytes() {
        return openIds * OpenRequestIds.BYTES_PER_ID;
    }

    private boolean mayQueue(int bytes) {
        int reserved = input.reservedBytesWith(bytes) + openIdBytes();
        return reserved <= Limits.MAX_QUEUED_BYTES
                && dispatcher.limits.statementMemory.mayQueue(queuedBytes, reserved - queuedBytes);
    }

    /** Releases what a client still sends after its last message; closes the connection where that does not end. */
    private void discard(ByteBuf bytes) {
        discardedBytes += bytes.readableBytes();
        if (closeReason != null && closeReason.requiresAllAnswered) {
            input.add(bytes);
            discardWaiting();
            return;
        }
        bytes.release();
        if (state == State.CLOSING && discardedBytes > Limits.MAX_MESSAGE_BYTES) {
            channel.close();
        }
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        lastReadWasEmpty = bytesInRead == 0;
        behind = !lastReadWasEmpty && lastReadWasFull;
        bytesInRead = 0;
        if (!isBlocked()) {
            input.keepAgain();
        }
        accountInput();
        workChanged();
    }

    /** Accounts for what the client's input takes of the memory. */
    private void accountInput() {
        input.trim();
        int reserved = input.reservedBytes();
        boolean waits = input.hasMessage();
        int queued = waits ? reserved + openIdBytes() : 0;
        if (queued > queuedBytes) {
            dispatcher.limits.statementMemory.queue(queued - queuedBytes);
        } else if (queued < queuedBytes) {
            dispatcher.limits.statementMemory.releaseQueued(queuedBytes - queued);
        }
        queuedBytes = queued;
        int unfinished = waits ? 0 : reserved;
        if (unfinished != unfinishedBytes) {
            unfinishedBytes = unfinished;
            dispatcher.setUnfinishedInput(this, unfinished);
        }
    }

    @Override public void rejectUnfinishedInput() {
        dispatcher.counters.add("client.refused.partial");
        unfinishedBytes = 0;
        if (state == State.STARTUP || state == State.CLOSING || inputError != null) { // no request is among it
            input.discardFurther();
            rejectInput("a message begun while memory is short");
        } else { // requests may follow the incomplete one, so it is refused by itself, once it has ended
            refuseFurtherInput();
            accountInput();
        }
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        accountOutput();
        workChanged();
    }

    /** Accounts for what the client's unread answers take of the memory. */
    private void accountOutput() {
        long unread = output.unreadBytes();
        if (unread != unreadBytes) {
            unreadBytes = unread;
            dispatcher.setUnreadOutput(this, unread);
        }
    }

    /** Closes the connection of a client that does not read its answers, while they take too much of the memory. */
    void rejectUnreadOutput() {
        unreadBytes = 0;
        closing(CloseReason.UNREAD);
        resetOnClose(); // the rest of its answers is dropped
        channel.close();
    }

    // ---- Work ----

    /** Whether the next message has to wait. */
    private boolean isBlocked() {
        boolean isRead = output.isWritable() || abandonReason != null;
        return !departureChecked || isAwaitingOutcome() || !isRead;
    }

    private boolean isAwaitingOutcome() {
        return state == State.IN_FLIGHT || state == State.CATCHING_UP || state == State.AWAITING_READINESS;
    }

    private boolean canHandleMessage() {
        boolean hasMessage = input.hasMessage() || input.refusedMessages() > 0 || input.isTerminated();
        return state != State.CLOSING && !isBlocked() && (hasMessage || inputError != null);
    }

    /** Whether reading on is of use: not for a client that reads no answers, unless its end has to be noticed. */
    private boolean mayRead() {
        return pendingClose.readsOn() && (output.isWritable() || isAwaitingOutcome());
    }

    private boolean canReadOn() {
        return behind && state != State.CLOSING && mayRead();
    }

    private boolean hasWork() {
        return canHandleMessage() || state == State.CATCHING_UP || canReadOn();
    }

    /** The session may have work now, or none any more. */
    private void workChanged() {
        if (!departureChecked) {
            checkDeparture();
        }
        boolean hasWork = hasWork();
        pendingClose.workChanged(hasWork, isAwaitingOutcome(), System.nanoTime());
        if (hasWork) {
            gateway.work.activate(this);
        } else {
            workDone();
            if (heldBack != null) {
                updateHeldBack(false);
            }
        }
        updateReading();
    }

    /** What follows once all that can be handled now is. */
    private void workDone() {
        workLeftSince = NONE_LEFT;
        backlogWait = departureChecked ? 0 : backlogWait;
        closeIfAllAnswered();
        closeIfAbandoned();
        if (startupUnreported && state != State.CLOSING) {
            startupUnreported = false;
            gateway.startupReceived(this);
        }
        setIdle(state == State.IDLE && !input.hasMessage() && input.refusedMessages() == 0);
    }

    /** Records whether the session is between statements; costs nothing while it stays busy. */
    private void setIdle(boolean isIdle) {
        if ((isIdle || countsAsIdle) && state != State.CLOSING) {
            countsAsIdle = isIdle;
            gateway.setIdle(this, isIdle);
        }
    }

    /** Handles messages, and reads on where none is left, for the given time at most; returns whether work is left. */
    boolean serve(long start, long allowance) {
        long now = start;
        try {
            closeIfAllAnswered(); // also where messages wait that get no answer
            while (now - start < allowance && channel.isActive() && hasWork()) {
                if (canHandleMessage()) {
                    handleNext();
                } else {
                    readOn();
                }
                output.flushIfLarge();
                now = System.nanoTime();
            }
        } catch (Throwable e) { // a failure of one session must not affect the others
            failed(e);
        }
        servedNanos += now - start;
        output.flush();
        if (channel.isActive()) {
            accountOutput();
            accountInput(); // may reject this session's own input, so that it has an error to send
            noteWorkLeft(hasWork(), now);
            workChanged();
        }
        return channel.isActive() && hasWork();
    }

    private void readOn() {
        if (canReadOn()) {
            SocketInput.readNow(channel);
        }
        catchUp();
    }

    private void handleNext() {
        setIdle(false); // before any callback of this message can look for a session to close
        Frame frame;
        try {
            frame = input.next();
        } catch (CorruptedFrameException e) {
            rejectInput(MALFORMED_MESSAGE);
            return;
        }
        if (frame != null) {
            lastProgressAt = gateway.lastSweepAt();
            try {
                handle(frame);
            } finally {
                if (frame.type == 'Q' && statement == null) { // else it is open until the final answer
                    RequestIdScanner.scan(frame, this::closeId);
                }
                frame.release();
            }
            if (frame.type == Frame.UNTYPED) {
                openNewIds();
            }
            input.keepAgain();
        } else if (input.refusedMessages() > 0) {
            input.refusedAnswered();
            refuseUnkept();
        } else if (input.isTerminated()) {
            closeAfterFlush(CloseReason.TERMINATE);
        } else if (inputError != null) {
            sendFatalError("08P01", inputError);
        }
    }

    /** Reading is paused while more waits than can be handled; it goes on when the session is served. */
    private void updateReading() {
        if (state != State.CLOSING) {
            boolean hasEnough = input.bytes() >= MAX_UNSERVED_BYTES && canHandleMessage();
            channel.config().setAutoRead(!behind && !hasEnough && mayRead());
        }
    }

    /** Notes whether work was left when the session was last served. */
    private void noteWorkLeft(boolean workIsLeft, long now) {
        if (!workIsLeft) {
            workLeftSince = NONE_LEFT;
        } else if (workLeftSince == NONE_LEFT) {
            workLeftSince = now;
        }
        updateHeldBack(workIsLeft && now - workLeftSince >= MIN_HELD_BACK_NANOS);
    }

    private void updateHeldBack(boolean wantsMoreTime) {
        HeldBack reason = pendingClose.isPending() ? null : input.isRefusing() ? HeldBack.MEMORY
                : wantsMoreTime ? HeldBack.TIME : !output.isWritable() ? HeldBack.UNREAD
                : input.hasPartialMessage() ? HeldBack.INCOMPLETE : null;
        if (reason != heldBack && state != State.CLOSING) {
            heldBack = reason;
            gateway.heldBackChanged(this, reason);
        }
    }

    /**
     * Waits until the end of the input would have been read too. Prevents call-outs for a client that has left, which
     * happen when its connection waited to be accepted until after its end: the statement is read first, the end later.
     */
    private void checkDeparture() {
        if ((input.bytes() > 0 || inputError != null) && !departureCheckScheduled) {
            departureCheckScheduled = true;
            channel.eventLoop().schedule(() -> {
                SocketInput.readNow(channel); // the end may stand behind more input, and neither be read yet
                SocketInput.readNow(channel);
                departureChecked = true;
                resume();
            }, DEPARTURE_CHECK_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Closes a connection that holds resources without use: a client that sends nothing, one whose message never ends,
     * and one that still sends after a fatal error. lingerTimeout: how long the last of these may go on sending.
     */
    void sweep(long now, long lingerTimeout) {
        accountOutput();
        endEndlessInput();
        noteProgress(now);
        rejectStalledMessage(now, lingerTimeout);
        closeIfOutputStalls(now);
        if (state == State.CLOSING) {
            // without an input error the longer timeout applies, since a last answer may still be in transit
            if (now - lastProgressAt >= (inputError == null ? Limits.UNUSED_TIMEOUT_NANOS : lingerTimeout)) {
                closing(CloseReason.LINGER);
                channel.close();
            }
        } else if (state != State.STARTUP && !input.hasPartialMessage() || !channel.config().isAutoRead()) {
            lastProgressAt = now;
        } else if (now - lastProgressAt >= Limits.UNUSED_TIMEOUT_NANOS) {
            endStalledInput();
        } else if (heldBack == null && input.hasPartialMessage()) {
            updateHeldBack(false);
        }
    }

    /** Ends the session of a client whose message does not end, or that has sent none, unless the rest is unread. */
    private void endStalledInput() {
        presence();
        boolean hasMessageEnded = input.hasMessage() || input.refusedInAll() != lastRefusedInAll;
        if (hasMessageEnded || !channel.isActive()) {
            return;
        }
        if (input.hasPartialMessage()) {
            rejectInput("a message that does not end");
        } else {
            closing(CloseReason.SILENT);
            channel.close();
        }
    }

    /** A message that has ended is progress, also where it is read past. */
    private void noteProgress(long now) {
        if (input.refusedInAll() != lastRefusedInAll) {
            lastRefusedInAll = input.refusedInAll();
            lastProgressAt = now;
        }
    }

    /** The bytes of answers that are not written yet, since the client has not read the ones before. */
    long unreadOutputBytes() {
        return output.unreadBytes();
    }

    /** The bytes of messages that wait or are incomplete. */
    int inputBytes() {
        return input.reservedBytes();
    }

    /** Whether the last read filled its buffer, so that the socket may hold more. */
    boolean mayHaveUnreadInput() {
        return behind;
    }

    /** The messages that were read and not kept, and are still to be answered. */
    long refusedMessages() {
        return input.refusedMessages();
    }

    /** The event loop's time that was spent on this client's messages. */
    long servedNanos() {
        return servedNanos;
    }

    /** Why the client is held back; null while it is not. */
    HeldBack heldBack() {
        return heldBack;
    }

    /** Whether the connection is about to close, or has closed. */
    boolean isClosing() {
        return state == State.CLOSING;
    }

    long connectedAt() {
        return connectedAt;
    }

    /**
     * Whether the client has sent something that is not answered yet: an RPC in flight, a message that waits, or a part
     * of a message after the startup. Such a session is never closed to free resources.
     */
    boolean owesAnswer() {
        return hasUnansweredMessage() || state != State.STARTUP && input.hasPartialMessage();
    }

    private boolean hasUnansweredMessage() {
        return isAwaitingOutcome() || state != State.CLOSING && (input.hasMessage() || input.refusedMessages() > 0);
    }

    /** The same without messages that get no answer. */
    private boolean owesAnswerToMessage() {
        String answered = state == State.SKIPPING_TO_SYNC ? "S" : ANSWERED_TYPES;
        return hasUnansweredMessage() && (isAwaitingOutcome() || input.hasMessageOfType(answered));
    }

    /**
     * Reads nothing more from this client, whose input is malformed. The error is sent once all earlier messages are
     * answered, since an RPC in flight still gets its answer.
     */
    void rejectInput(String error) {
        if (inputError == null && state != State.CLOSING) {
            inputError = error;
            input.discardFurther();
            accountInput();
            workChanged();
        }
    }

    private void handle(Frame frame) {
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
                identifyingParameter = findIdentifyingParameter(frame);
                startupUnreported = true;
                write(Messages.readyForQuery(Messages.startupResponse(buffer(), 1, 1)));
            }
        }
    }

    private void handleQuery(Frame frame) {
        if (frame.bodyStartsWith("/*")) { // the usual case
            startRpc(frame);
            return;
        }
        String command = GatewayCommands.parse(frame);
        if (command.isEmpty()) {
            answerEmptyQueryWhenReady();
        } else if (!GatewayCommands.answer(command, gateway, dispatcher, buffer())) {
            startRpc(frame);
        }
    }

    private void answerEmptyQueryWhenReady() {
        if (gateway.isReady()) {
            write(Messages.readyForQuery(Messages.emptyQueryResponse(buffer())));
            return;
        }
        state = State.AWAITING_READINESS;
        gateway.whenReady(() -> {
            if (state == State.AWAITING_READINESS) {
                state = State.IDLE;
                write(Messages.readyForQuery(Messages.emptyQueryResponse(buffer())));
                resume();
            }
        });
    }

    private void startRpc(Frame frame) {
        if (abandonReason != null) {
            write(refusal());
            return;
        }
        try {
            statement = holdStatement(frame);
        } catch (Statement.InvalidStatementException e) {
            dispatcher.counters.add("client.unfit");
            dispatcher.logOnce("rejected a client's statement that cannot be routed: " + e.getMessage());
            write(Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", "42601", e.getMessage(), null)));
        }
        if (statement == null) {
            return; // it is answered
        }
        statement.keepCopy(); // released with the final answer
        if (behind) {
            state = State.CATCHING_UP;
            catchingUpSince = dispatcher.clock.now();
        } else {
            submitRpc(backlogWait);
        }
    }

    /** The statement, with memory held for it; null where it is answered with a refusal instead. */
    private Statement holdStatement(Frame frame) throws Statement.InvalidStatementException {
        Statement parsed = new Statement(frame);
        Method method = dispatcher.method(parsed.method);
        if (method == null) {
            throw new Statement.InvalidStatementException("no class has that name");
        }
        parsed.validateFor(method);
        if (dispatcher.isOpenElsewhere(parsed.id, this)) {
            throw new Statement.InvalidStatementException("the id is that of an RPC that is open");
        }
        if (dispatcher.mayHaveRun(parsed.id, method)) {
            write(Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", "58000",
                    "a statement with this id may have run already", null)));
            return null;
        }
        if (!dispatcher.limits.statementMemory.tryHold(parsed.group, parsed.tenant, parsed.memoryCost())) {
            refuseForMemory();
            return null;
        }
        try {
            parsed.parseSql(); // reads all of it, so what is refused for memory does not cost that
        } catch (Statement.InvalidStatementException e) {
            dispatcher.limits.statementMemory.release(parsed.group, parsed.tenant, parsed.memoryCost());
            throw e;
        }
        return parsed;
    }

    /** waited: for how long the statement may have waited since it could have been read. */
    private void submitRpc(long waited) {
        state = State.IN_FLIGHT;
        rpc = dispatcher.acceptRpc(this, statement, waited, gateway.clientIdentifier());
        Rpc started = rpc;
        dispatcher.submitInput(engine -> engine.rpcArrived(started));
    }

    /** Starts the statement that waits, once all that its client has sent is read; refuses it if that takes long. */
    private void catchUp() {
        if (state != State.CATCHING_UP || !channel.isActive()) {
            return;
        }
        long waited = dispatcher.clock.now() - catchingUpSince;
        if (!behind) {
            submitRpc(backlogWait + waited);
        } else if (waited >= MAX_CATCH_UP_NANOS) {
            state = State.IDLE;
            clearRpc();
            dispatcher.counters.add(HeldBack.INPUT.counter());
            write(pushback("more follows this statement than can be read now; trying again is harmless"));
        }
    }

    /** Answers a message that was read and not kept; nothing of it has run. */
    private void refuseUnkept() {
        state = State.IDLE; // it may have been the Sync that messages were skipped to
        if (abandonReason != null) {
            write(refusal());
        } else if (pendingCloseReason == CloseReason.DRAIN) {
            dispatcher.counters.add("client.refused.drain");
            write(refusal());
        } else if (pendingClose.isPending()) {
            dispatcher.counters.add("client.refused.room");
            write(pushback("no room for this connection now; trying again is harmless"));
        } else {
            refuseForMemory();
        }
    }

    /** Answers a statement that memory is short for; nothing of it has run. */
    private void refuseForMemory() {
        dispatcher.counters.add("client.refused.memory");
        write(pushback("no memory for this statement now; trying again is harmless"));
    }

    private ByteBuf pushback(String message) {
        return Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", "53300", message,
                Dispatcher.retryAfterMillis(dispatcher.settings().standardRetryAfter())));
    }

    /**
     * Whether the client is still connected. Reads the socket to its end, behind which the client's end would stand:
     * the gateway may have been held up since it last read it.
     */
    Presence presence() {
        int maxReads = behind ? MAX_READS_WHEN_BEHIND : MAX_READS_FOR_PRESENCE;
        for (int reads = 0; channel.isActive() && reads < maxReads; reads++) {
            SocketInput.readNow(channel);
            if (lastReadWasEmpty && channel.isActive()) {
                return Presence.CONNECTED;
            }
        }
        return channel.isActive() ? Presence.UNKNOWN : Presence.LEFT;
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

    /** The client's IP address and port, and the id of its connection. */
    String address() {
        return channel.remoteAddress() + " (" + connectionId() + ")";
    }

    private String findIdentifyingParameter(Frame startup) {
        ClientIdentifier identifier = gateway.clientIdentifier();
        boolean isWanted = identifier != null && identifier.kind() == ClientIdentifier.Kind.PARAMETER;
        return isWanted ? ClientName.of(startup.startupParameters().get(identifier.parameter())) : null;
    }

    /** The parameter of the startup message that identifies the client; null where there is none. */
    String identifyingParameter() {
        return identifyingParameter;
    }

    Statement statement() {
        return statement;
    }

    /** Sends the final answer: the messages of the member, unchanged. */
    void sendResult(List<Frame> frames) {
        output.append(frames);
        finishRpc(Messages.readyForQuery(buffer()));
    }

    /** Sends the final answer as an error; retryAfterMillis: the retry-after, null for none. */
    void sendError(String code, String message, String retryAfterMillis) {
        finishRpc(Messages.readyForQuery(Messages.errorResponse(buffer(), "ERROR", code, message, retryAfterMillis)));
    }

    private void finishRpc(ByteBuf response) {
        write(response);
        output.flush();
        accountOutput();
        clearRpc();
        state = State.IDLE;
        // prevents an RPC from starting within the batch in which the previous one was answered
        dispatcher.runAfterBatch(this::resume);
    }

    /** Handles messages that wait, or resumes reading. */
    void resume() {
        if (channel.isActive()) {
            output.flush();
            workChanged();
        }
    }

    private void clearRpc() {
        rpc = null;
        if (statement != null) {
            dispatcher.limits.statementMemory.release(statement.group, statement.tenant, statement.memoryCost());
            statement.scanId(this::closeId);
            statement.release();
            statement = null;
        }
    }

    /** From now on the session closes as soon as its client is owed no answer. */
    void drain() {
        closeWhenAllAnswered(CloseReason.DRAIN);
        if (state == State.AWAITING_READINESS) {
            state = State.IDLE;
            write(refusal());
        }
        resume();
    }

    /**
     * Closes the connection as soon as its client is owed no answer. Messages that are complete by now are handled;
     * while more is unread, what follows them is read and refused, so that nothing that was read stays unanswered.
     */
    private void closeWhenAllAnswered(CloseReason reason) {
        if (!pendingClose.isPending() && state != State.CLOSING) {
            pendingCloseReason = reason;
            pendingClose.begin();
            endEndlessInput();
        }
    }

    /**
     * Stops reading from a client whose session is to close and whose input has had no end for long. What was read is
     * still answered; what is not read stays in the socket, so that the client sees a reset.
     */
    private void endEndlessInput() {
        if (pendingClose.judgeEndless(System.nanoTime())) {
            workChanged();
        }
    }

    /** Gives up an incomplete message that keeps a session from closing for room, once it has taken long. */
    private void rejectStalledMessage(long now, long maxNanos) {
        if (pendingCloseReason == CloseReason.ROOM && input.hasPartialMessage() && now - lastProgressAt >= maxNanos) {
            presence();
            if (input.hasPartialMessage()) {
                rejectInput("a session that is held back while descriptors are short");
            }
        }
    }

    private void closeIfAllAnswered() {
        if (state == State.CLOSING || !pendingClose.isPending()) {
            return;
        }
        boolean hasErrorToSend = inputError != null;
        switch (pendingClose.ending(isAwaitingOutcome(), hasErrorToSend, owesAnswer(), this::owesAnswerToMessage)) {
            case IN_ORDER -> closeInOrder(pendingCloseReason);
            case BY_RESET -> {
                resetOnClose();
                closeAfterFlush(pendingCloseReason);
            }
            case NONE -> { }
        }
    }

    /**
     * Closes the connection of a client that is owed no answer, unless it has sent more, which is read then, or has not
     * read its answers; returns whether the session has ended.
     */
    private boolean closeInOrder(CloseReason reason) {
        output.flush();
        for (int reads = 0; reads < MAX_READS_FOR_PRESENCE && !owesAnswer() && inputError == null; reads++) {
            if (output.unreadBytes() > 0) {
                closeOnceWritten();
                return false;
            }
            switch (SocketInput.endIfEmpty(channel)) {
                case ENDED -> {
                    closeAfterFlush(reason);
                    return true;
                }
                case PEER_GONE -> {
                    return true;
                }
                case INPUT_READ -> dispatcher.counters.add("client.close.calledoff");
            }
        }
        return false;
    }

    /** Looks again whether a session that is to close may, once its answers are written. */
    private void closeOnceWritten() {
        if (!awaitsWrite) {
            awaitsWrite = true;
            // as a task, since what is written counts as unread until its listeners have run
            output.flushToSocket().addListener(written -> {
                if (written.isSuccess()) {
                    channel.eventLoop().execute(this::lastAnswersWritten);
                }
            });
        }
    }

    private void lastAnswersWritten() {
        awaitsWrite = false;
        resume();
    }

    /**
     * Closes the connection of a client whose session is to close and that has not read its answers for long. What it
     * has not read is dropped, and the close is a reset.
     */
    private void closeIfOutputStalls(long now) {
        if (!pendingClose.isPending() || output.unreadBytes() == 0) {
            outputStalledSince = NOT_STALLED;
        } else if (outputStalledSince == NOT_STALLED) {
            outputStalledSince = now;
        } else if (now - outputStalledSince >= Limits.UNUSED_TIMEOUT_NANOS) {
            closing(CloseReason.LINGER);
            resetOnClose();
            channel.close();
        }
    }

    /**
     * Ends the session of a client that is owed no answer, to free its descriptor; returns whether that is under way.
     * One that has sent more goes on.
     */
    boolean closeForRoom() {
        if (closeInOrder(CloseReason.ROOM)) {
            return true;
        }
        if (owesAnswer()) {
            return false;
        }
        closeWhenAllAnswered(CloseReason.ROOM);
        workChanged();
        return true;
    }

    /**
     * Makes the close of the connection a reset, so that a client whose messages were read and get no answer does not
     * take the end of its connection for one in order.
     */
    private void resetOnClose() {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
    }

    /**
     * Closes the connection because the gateway stops or the session has failed. The RPC in flight is answered as
     * failed, since it may have run, and statements that wait are refused, as many as the allowed time suffices for.
     */
    void abandon(CloseReason reason, long allowedNanos) {
        if (abandonReason != null || state == State.CLOSING) {
            return;
        }
        abandonReason = reason;
        if (rpc != null) {
            dispatcher.abortUnanswered(rpc);
        } else if (state == State.IN_FLIGHT) { // it failed before it became an RPC
            sendError("58000", "the statement failed and may have run", null);
        } else if (isAwaitingOutcome()) {
            state = State.IDLE;
            clearRpc();
            write(refusal());
        }
        departureChecked = true;
        lastReadWasEmpty = false; // what was read earlier tells nothing now
        long end = System.nanoTime() + allowedNanos;
        while (state != State.CLOSING && channel.isActive() && System.nanoTime() < end) { // there is no later turn
            handleAll(end);
            if (closeInOrder(reason) || output.unreadBytes() > 0) {
                break;
            }
        }
        closeIfAbandoned();
    }

    /** Handles what was read and what the socket holds, up to a time. */
    private void handleAll(long end) {
        boolean isEmpty = false;
        while (channel.isActive() && !isEmpty && System.nanoTime() < end) {
            if (canHandleMessage()) {
                handleNext();
                output.flushIfLarge();
            } else {
                SocketInput.readNow(channel);
                isEmpty = lastReadWasEmpty;
            }
        }
    }

    /** Closes the connection, by a reset where the client may have sent something that has no answer. */
    private void closeIfAbandoned() {
        if (abandonReason == null || state == State.CLOSING || !channel.isActive()) {
            return;
        }
        if (owesAnswer() || !lastReadWasEmpty) {
            resetOnClose();
        }
        closeAfterFlush(abandonReason);
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
        dispatcher.counters.add("client.closed.owing", reason.requiresAllAnswered && owesAnswerToMessage() ? 1 : 0);
        dispatcher.sessionClosing(connectionId(), reason, rpc);
    }

    /** Ends the session of a client that is held back, to free its descriptor; what it has sent is answered first. */
    void closeHeldBack() {
        dispatcher.counters.add("client.closed.heldback");
        if (!output.isWritable()) {
            rejectUnreadOutput();
        } else if (state == State.STARTUP) {
            rejectInput("a session that is held back while descriptors are short");
        } else {
            closeWhenAllAnswered(CloseReason.ROOM);
            workChanged();
        }
    }

    /** Closes the connection once all output is written. */
    void closeAfterFlush(CloseReason reason) {
        closing(reason);
        state = State.CLOSING;
        gateway.sessionClosing(this);
        channel.config().setAutoRead(false); // what is not read by now, the client can send again elsewhere
        lastProgressAt = dispatcher.clock.now();
        discardWaiting();
        output.flushToSocket().addListener(ChannelFutureListener.CLOSE);
    }

    /** Drops the messages that wait, and counts those that are owed an answer. */
    private void discardWaiting() {
        boolean isOwed = closeReason != null && closeReason.requiresAllAnswered;
        closeWaitingIds();
        if (isOwed && (input.hasMessage() || input.refusedMessages() > 0)) {
            resetOnClose();
        }
        long owed = input.dropMessages();
        dispatcher.counters.add("client.discarded", isOwed ? owed : 0);
        accountInput();
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
        gateway.sessionClosing(this);
        lastProgressAt = dispatcher.clock.now();
        input.clear();
        accountInput();
        channel.config().setAutoRead(true);
        write(Messages.errorResponse(buffer(), "FATAL", code, message, null));
        output.flushToSocket().addListener(f -> {
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
        closeWaitingIds();
        input.clear();
        output.clear();
        accountInput();
        unreadBytes = 0;
        dispatcher.setUnreadOutput(this, 0);
        Rpc abandoned = rpc;
        clearRpc();
        if (abandoned != null) {
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
        } else { // any other failure ends this session alone
            failed(cause);
        }
    }

    private void failed(Throwable cause) {
        dispatcher.counters.add("client.failed");
        dispatcher.logOnce("a client session failed: " + cause);
        abandon(CloseReason.FAILED, MAX_ABANDON_NANOS);
    }

    /** The buffer to which an answer is appended; write() ends the answer. */
    private ByteBuf buffer() {
        return output.buffer();
    }

    private void write(ByteBuf out) {
        assert out == output.buffer() : "answers are appended to the session's output";
    }
}
