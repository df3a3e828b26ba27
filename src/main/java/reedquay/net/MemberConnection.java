package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import reedquay.core.Outcome;
import reedquay.core.LoadReport;
import reedquay.core.Role;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/** One connection to a member; carries one send at a time. */
final class MemberConnection extends ChannelInboundHandlerAdapter {
    enum State { OPENING, SETTLING, IDLE, RESERVED, BUSY, CLOSED }

    private static final String ANSWER = "TDC"; // row description, row, completion: an answer is these, once each

    /** What came back for a send, up to ReadyForQuery. */
    static final class Response {
        final List<Frame> frames = new ArrayList<>(ANSWER.length());
        String sqlState; // its SQLSTATE
        Role role = Role.UNKNOWN;
        long positionMillis;
        boolean hasPosition;
        String loadReport;

        boolean isComplete() {
            return frames.size() == ANSWER.length();
        }

        void release() {
            frames.forEach(ReferenceCountUtil::release);
            frames.clear();
        }
    }

    private final Dispatcher door;
    final Pool pool;
    final long openedAt;
    final FrameDecoder decoder = FrameDecoder.forServer(Limits.MAX_MESSAGE_BYTES);
    State state = State.OPENING;
    long idleSince;
    MemberRequest request;
    private Channel channel;
    private Response answer = new Response();
    private boolean written;
    private boolean spoilt;
    private boolean used, kept; // kept: it has carried a statement before this one
    private Outcome whyNot = Outcome.NO_CONNECTION; // what waits for this connection gets if it never comes up

    MemberConnection(Dispatcher door, Pool pool, long openedAt) {
        this.door = door;
        this.pool = pool;
        this.openedAt = openedAt;
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Messages.startupMessage(ctx.alloc().buffer(64), "reedquay", "reedquay"));
    }

    /** Sends the query of a send that has this connection to itself from here on. */
    void send(MemberRequest next) {
        door.counters.check(state == State.IDLE || state == State.RESERVED, "one send at a time on a connection");
        kept = used;
        used = true;
        state = State.BUSY;
        request = next;
        next.connection = this;
        written = false;
        answer = new Response();
        if (next.callOut != null) {
            next.callOut.awaitingConnection = false;
        }
        ByteBuf query = next.callOut == null ? door.buildProbeQuery(channel.alloc())
                : door.buildQuery(next, channel.alloc());
        channel.writeAndFlush(query).addListener(f -> written |= request == next && f.isSuccess());
        if (!channel.isActive()) {
            handleClosed();
        }
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        Frame frame = (Frame) message;
        boolean kept = false;
        try {
            if (state == State.CLOSED) {
                return; // what stood behind the breach
            }
            switch (frame.type) {
                case 'T', 'D', 'C' -> {
                    // guards against passing on what no member made: nothing is left out, twice, or out of its order
                    if (state != State.BUSY || answer.sqlState != null || answer.isComplete()
                            || ANSWER.charAt(answer.frames.size()) != frame.type || !frame.isWellFormed()) {
                        protocolViolation("an answer that is spoilt, or that nothing asked for");
                        return;
                    }
                    answer.frames.add(frame);
                    kept = true;
                }
                case 'E' -> handleError(frame);
                case 'S', 'N' -> {
                    if (state == State.BUSY && frame.type == 'S') {
                        handleParameterStatus(frame);
                    } else if (state != State.BUSY && state != State.OPENING) {
                        protocolViolation("more than the answer");
                    }
                }
                case 'Z' -> handleReadyForQuery();
                case 'R' -> {
                    if (state != State.OPENING || frame.bodyLength() < 4 || frame.content().getInt(frame.bodyStart()) != 0) {
                        protocolViolation("a request for authentication that is not known here");
                    }
                }
                case 'K' -> { }
                default -> protocolViolation("a message that answers no simple query");
            }
        } finally {
            if (!kept) {
                frame.release();
            }
        }
    }

    private void handleError(Frame frame) {
        String code = frame.isWellFormed() ? frame.errorFields().getOrDefault('C', "") : "";
        if (state == State.OPENING) {
            whyNot = code.equals("53300") ? Outcome.FULL : Outcome.NO_CONNECTION;
            channel.close();
        } else if (state != State.BUSY) {
            close(); // it says why it is about to close
        } else if (code.isEmpty() || answer.sqlState != null || answer.isComplete()) {
            protocolViolation("an error that is spoilt");
        } else {
            answer.sqlState = code;
        }
    }

    private void handleParameterStatus(Frame frame) {
        String name = frame.stringAt(0);
        String value = frame.stringAt(name.length() + 1);
        if (name.equals("node_role")) {
            answer.role = value.equals("leader") ? Role.PRIMARY : value.equals("follower") ? Role.REPLICA
                    : Role.UNKNOWN;
        } else if (name.equals("replay_position")) {
            try {
                answer.positionMillis = Long.parseLong(value.strip());
                answer.hasPosition = door.isPlausiblePosition(answer.positionMillis);
            } catch (NumberFormatException e) {
                door.counters.add("member.position.unreadable");
            }
        } else if (name.equals("server_load")) {
            answer.loadReport = value;
        }
    }

    private void handleReadyForQuery() {
        if (state == State.OPENING) {
            pool.connectionOpened();
            settlingEnded();
        } else if (state == State.BUSY) {
            if (!answer.isComplete() && answer.sqlState == null) {
                protocolViolation("ready for a query without an answer to the last one");
                return;
            }
            MemberRequest finished = request;
            Response whole = answer;
            answer = new Response();
            request = null;
            state = State.SETTLING;
            door.responseReceived(finished, whole);
            door.startSettling(this);
        } else {
            protocolViolation("ready for a query twice");
        }
    }

    /**
     * Free again, if nothing came behind the last answer. Guards against the gravest mistake, a second copy of one
     * answer that passes for the answer to the next statement: it is waited for, what comes ends the connection
     */
    void settlingEnded() {
        if (state == State.CLOSED || !channel.isActive()) {
            return;
        }
        if (!isClean()) {
            protocolViolation("more than the answer");
            return;
        }
        state = State.IDLE;
        idleSince = door.clock.now();
        pool.connectionReady(this);
    }

    /** Whether nothing of a further message has come. */
    boolean isClean() {
        return !decoder.hasPartialMessage();
    }

    private void protocolViolation(String what) {
        door.counters.add("member.breach");
        door.logOnce("a member sent what the protocol does not allow: " + what);
        spoilt = state == State.BUSY; // it has run: nothing of it is passed on or believed
        channel.close();
        handleClosed();
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        handleClosed();
    }

    /** The connection is gone, whoever ended it. */
    private void handleClosed() {
        State before = state;
        if (before == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        MemberRequest broken = request;
        Response last = answer;
        request = null;
        answer = null;
        door.limits.memberConnectionClosed();
        pool.connectionClosed(this, before, whyNot);
        if (broken != null && !spoilt && (last.isComplete() || last.sqlState != null)) {
            door.responseReceived(broken, last); // whole, though no ReadyForQuery came
            return;
        }
        last.release();
        if (broken != null) {
            // guards against calling unsent what was written: unsure counts as may have run; and against holding it
            // against a member that a connection kept to it was of no more use: a dead process refuses the next one
            door.requestFailed(broken, spoilt ? Outcome.SPOILT : !written ? Outcome.NO_CONNECTION
                    : kept ? Outcome.STALE : Outcome.RESET);
        }
    }

    /** Closes without a word to whoever waits: the send was given up. */
    void abandon() {
        request = null;
        close();
    }

    void close() {
        if (state == State.IDLE) {
            channel.writeAndFlush(Messages.terminate(channel.alloc().buffer(8)));
        }
        channel.close();
        handleClosed();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException) && state != State.CLOSED) {
            protocolViolation("what is no message, or one of an impossible length");
        }
        ctx.close();
    }

    /** The load report that a probe or an answer brought. */
    static LoadReport parseLoadReport(Dispatcher door, Response answer, boolean fromRow) {
        String text = answer.loadReport;
        if (fromRow && answer.frames.size() == 3) {
            Frame row = answer.frames.get(1);
            text = row.type == 'D' && row.bodyLength() > 6 ? row.stringAt(6) : text;
        }
        try {
            return text == null ? LoadReport.NONE : door.reports.parsePairs(text);
        } catch (NumberFormatException | ArithmeticException e) {
            door.counters.add("member.report.unreadable");
            return LoadReport.NONE;
        }
    }
}
