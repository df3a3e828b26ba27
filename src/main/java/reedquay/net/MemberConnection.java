package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import reedquay.core.LoadReport;
import reedquay.core.Outcome;
import reedquay.core.Role;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/** One connection to a member; carries one request at a time. Times in nanoseconds. */
final class MemberConnection extends ChannelInboundHandlerAdapter implements InputOwner {
    /**
     * The states of a connection: OPENING until the startup is complete, SETTLING for a tick after a response, RESERVED
     * for a request that the routing engine has yet to confirm, BUSY from the query to the end of its response.
     */
    enum State { OPENING, SETTLING, IDLE, RESERVED, BUSY, CLOSED }

    /** The message types of a result, in order and once each: RowDescription, DataRow, CommandComplete. */
    private static final String RESULT_TYPES = "TDC";

    /** A row of the greatest length, and room for the messages around it. */
    private static final int MAX_RESPONSE_BYTES = Limits.MAX_MESSAGE_BYTES + 64 * 1024;

    /** What the member sent for a request, up to ReadyForQuery. */
    static final class Response {
        final List<Frame> frames = new ArrayList<>(RESULT_TYPES.length());
        String sqlState; // of an ErrorResponse; null without one
        Role role = Role.UNKNOWN;
        long positionMillis;
        boolean hasPosition;
        String loadReport;

        boolean isComplete() {
            return frames.size() == RESULT_TYPES.length();
        }

        int bytes() {
            int bytes = 0;
            for (Frame frame : frames) {
                bytes += frame.content().readableBytes();
            }
            return bytes;
        }

        void release() {
            frames.forEach(ReferenceCountUtil::release);
            frames.clear();
        }
    }

    private final Dispatcher dispatcher;
    final Pool pool;
    final long openedAt;
    final FrameDecoder decoder = FrameDecoder.forServer(Limits.MAX_MESSAGE_BYTES);
    State state = State.OPENING;
    long idleSince; // while it is settling: when that ends
    MemberRequest request;
    private Channel channel;
    private Response response = new Response();
    private boolean written;
    private int responseBytes; // received since the query, or since the connection opened
    private boolean malformed;
    private int accountedBytes; // what an unfinished response reserves, as last reported
    private boolean readingAtSettlingEnd; // what is read now was unread when the settling ended
    private boolean carriedRequest, reused; // reused: it carried a request before the current one
    private Outcome openFailure = Outcome.NO_CONNECTION; // outcome of the waiting request if this never opens

    MemberConnection(Dispatcher dispatcher, Pool pool, long openedAt) {
        this.dispatcher = dispatcher;
        this.pool = pool;
        this.openedAt = openedAt;
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Messages.startupMessage(ctx.alloc().buffer(64), "reedquay", "reedquay"));
    }

    /** Writes the query of a request, which has this connection to itself from here on. */
    void send(MemberRequest newRequest) {
        dispatcher.counters.check(state == State.IDLE || state == State.RESERVED, "one send at a time on a connection");
        reused = carriedRequest;
        carriedRequest = true;
        state = State.BUSY;
        request = newRequest;
        newRequest.connection = this;
        written = false;
        responseBytes = 0;
        response = new Response();
        if (newRequest.callOut != null) {
            newRequest.callOut.awaitingConnection = false;
            newRequest.callOut.mayHaveRun = true;
        }
        ByteBuf query = newRequest.callOut == null ? dispatcher.buildProbeQuery(channel.alloc())
                : dispatcher.buildQuery(newRequest, channel.alloc());
        channel.writeAndFlush(query).addListener(f -> written |= request == newRequest && f.isSuccess());
        if (!channel.isActive()) {
            handleClosed();
        }
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        dispatcher.workBegins();
        Frame frame = (Frame) message;
        boolean retained = false;
        try {
            if (state == State.CLOSED) {
                return; // input that follows a protocol violation
            }
            responseBytes += frame.content().readableBytes();
            if (responseBytes > MAX_RESPONSE_BYTES) {
                protocolViolation("a response that does not end");
                return;
            }
            switch (frame.type) {
                case 'T', 'D', 'C' -> {
                    // prevents passing on a malformed result: each part must come once, and in order
                    if (state != State.BUSY || response.sqlState != null || response.isComplete()
                            || RESULT_TYPES.charAt(response.frames.size()) != frame.type || !frame.isWellFormed()) {
                        protocolViolation("a malformed or unexpected part of a result");
                        return;
                    }
                    response.frames.add(frame);
                    retained = true;
                }
                case 'E' -> handleError(frame);
                case 'S', 'N' -> {
                    if (state == State.BUSY && frame.type == 'S') {
                        handleParameterStatus(frame);
                    } else if (state != State.BUSY && state != State.OPENING) {
                        protocolViolation("data after the end of a response");
                    }
                }
                case 'Z' -> handleReadyForQuery();
                case 'R' -> {
                    if (state != State.OPENING || frame.bodyLength() < 4
                            || frame.content().getInt(frame.bodyStart()) != 0) {
                        protocolViolation("an unsupported authentication request");
                    }
                }
                case 'K' -> { }
                default -> protocolViolation("a message type that is no response to a simple query");
            }
        } finally {
            if (!retained) {
                frame.release();
            }
        }
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        accountUnfinishedInput();
    }

    private void accountUnfinishedInput() {
        int bytes = decoder.reservedBytes() + (response == null ? 0 : response.bytes());
        if (bytes != accountedBytes) {
            accountedBytes = bytes;
            dispatcher.setUnfinishedInput(this, bytes);
        }
    }

    /** Closes the connection: its statement may have run, and nothing of the response is passed on. */
    @Override public void rejectUnfinishedInput() {
        dispatcher.counters.add("member.closed.partial");
        accountedBytes = 0;
        malformed = state == State.BUSY;
        channel.close();
        handleClosed();
    }

    private void handleError(Frame frame) {
        String code = frame.isWellFormed() ? frame.errorFields().getOrDefault('C', "") : "";
        if (state == State.OPENING) {
            openFailure = code.equals("53300") ? Outcome.FULL : Outcome.NO_CONNECTION;
            channel.close();
        } else if (state != State.BUSY) {
            close(); // an error between requests announces that the member closes the connection
        } else if (code.isEmpty() || response.sqlState != null || response.isComplete()) {
            protocolViolation("a malformed or unexpected error");
        } else {
            response.sqlState = code;
        }
    }

    private void handleParameterStatus(Frame frame) {
        String name = frame.stringAt(0);
        String value = frame.stringAt(name.length() + 1);
        if (name.equals("node_role")) {
            response.role = value.equals("leader") ? Role.PRIMARY : value.equals("follower") ? Role.REPLICA
                    : Role.UNKNOWN;
        } else if (name.equals("replay_position")) {
            try {
                response.positionMillis = Long.parseLong(value.strip());
                response.hasPosition = dispatcher.isPlausiblePosition(response.positionMillis);
            } catch (NumberFormatException e) {
                dispatcher.counters.add("member.position.unreadable");
            }
        } else if (name.equals("server_load")) {
            response.loadReport = value;
        }
    }

    private void handleReadyForQuery() {
        if (state == State.OPENING) {
            pool.connectionOpened();
            settlingEnded();
        } else if (state == State.BUSY) {
            if (!response.isComplete() && response.sqlState == null) {
                protocolViolation("ReadyForQuery without a response to the query");
                return;
            }
            MemberRequest finished = request;
            Response completeResponse = response;
            response = new Response();
            request = null;
            state = State.SETTLING;
            dispatcher.responseReceived(finished, completeResponse);
            dispatcher.startSettling(this);
        } else {
            protocolViolation("ReadyForQuery twice");
        }
    }

    /**
     * Ends the settling after a response. Prevents the answer to one statement from being served for the next, which
     * happens when a member sends a second copy of a response: data that arrives while the connection settles closes
     * it. The socket is read here, since time that has passed proves nothing of what the event loop has not read yet.
     */
    void settlingElapsed() {
        if (state != State.SETTLING) {
            return;
        }
        readingAtSettlingEnd = true;
        SocketInput.readNow(channel);
        readingAtSettlingEnd = false;
        settlingEnded();
    }

    /** Makes the connection idle, unless it has closed or holds data after the end of a response. */
    private void settlingEnded() {
        if (state == State.CLOSED || !channel.isActive()) {
            return;
        }
        if (!isClean()) {
            protocolViolation("data after the end of a response");
            return;
        }
        state = State.IDLE;
        idleSince = dispatcher.clock.now();
        pool.connectionReady(this);
    }

    /** The same by now: the socket is read first, in which a late copy of a response may be unread. */
    boolean isCleanNow() {
        SocketInput.readNow(channel);
        return state != State.CLOSED && channel.isActive() && isClean();
    }

    /** Whether no byte of a further message has been received. */
    boolean isClean() {
        return !decoder.hasPartialMessage();
    }

    private void protocolViolation(String violation) {
        dispatcher.counters.add("member.breach");
        dispatcher.counters.add("member.breach.unread", readingAtSettlingEnd ? 1 : 0);
        dispatcher.logOnce("a member violated the protocol: " + violation);
        malformed = state == State.BUSY; // the statement ran; nothing of its response is passed on or trusted
        channel.close();
        handleClosed();
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        handleClosed();
    }

    /** Ends the request of a connection that closed, whichever side closed it. */
    private void handleClosed() {
        State previous = state;
        if (previous == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        MemberRequest interrupted = request;
        Response lastResponse = response;
        request = null;
        response = null;
        decoder.discardInput();
        accountUnfinishedInput();
        dispatcher.limits.memberConnectionClosed();
        pool.connectionClosed(this, previous, openFailure);
        if (interrupted != null && !malformed && (lastResponse.isComplete() || lastResponse.sqlState != null)) {
            dispatcher.responseReceived(interrupted, lastResponse); // complete, though without a ReadyForQuery
            return;
        }
        lastResponse.release();
        if (interrupted != null) {
            // A query that may have been written counts as one that may have run. A reused connection that broke says
            // nothing against the member: if its process is dead, it refuses the next connection.
            dispatcher.requestFailed(interrupted, malformed ? Outcome.SPOILT : !written ? Outcome.NO_CONNECTION
                    : reused ? Outcome.STALE : Outcome.RESET);
        }
    }

    /** The connection could not be opened; where the cause is local, nothing is known of the member. */
    void connectFailed(Throwable cause) {
        if (Connector.isLocalFailure(cause)) {
            openFailure = Outcome.NEVER_SENT;
            dispatcher.counters.add("member.nosocket");
            dispatcher.logOnce("cannot open a connection to a member: " + cause.getMessage());
        }
        close();
    }

    /** Closes without completing the request; the caller does that. */
    void abandon() {
        request = null;
        close();
    }

    /** Closes the connection; its request, if any, ends as if the member had closed it. */
    void close() {
        if (state == State.IDLE) {
            channel.writeAndFlush(Messages.terminate(channel.alloc().buffer(8)));
        }
        if (channel != null) { // null where the socket could not be created
            channel.close();
        }
        handleClosed();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException) && state != State.CLOSED) {
            protocolViolation("an unknown message type or an invalid length");
        }
        ctx.close();
    }

    /** Parses the load report of a response; fromRow: the response is a probe's, and its row holds the report. */
    static LoadReport parseLoadReport(Dispatcher dispatcher, Response response, boolean fromRow) {
        String text = response.loadReport;
        if (fromRow && response.frames.size() == 3) {
            Frame row = response.frames.get(1);
            text = row.type == 'D' && row.bodyLength() > 6 ? row.stringAt(6) : text;
        }
        try {
            return text == null ? LoadReport.NONE : dispatcher.reports.parsePairs(text);
        } catch (NumberFormatException | ArithmeticException e) {
            dispatcher.counters.add("member.report.unreadable");
            return LoadReport.NONE;
        }
    }
}
