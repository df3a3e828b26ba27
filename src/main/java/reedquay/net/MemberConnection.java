package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import reedquay.core.Outcome;
import reedquay.core.Report;
import reedquay.core.Role;
import reedquay.pg.Frame;
import reedquay.pg.FrameDecoder;
import reedquay.pg.Messages;

/** One connection to a member; carries one send at a time. */
final class MemberConnection extends ChannelInboundHandlerAdapter {
    enum State { OPENING, SETTLING, IDLE, RESERVED, BUSY, CLOSED }

    private static final String ANSWER = "TDC"; // row description, row, completion: an answer is these, once each

    /** What came back for a send, up to ReadyForQuery. */
    static final class Answer {
        final List<Frame> frames = new ArrayList<>(ANSWER.length());
        String error; // its SQLSTATE
        Role role = Role.UNKNOWN;
        long millis;
        boolean positioned;
        String load;

        boolean complete() {
            return frames.size() == ANSWER.length();
        }

        void release() {
            frames.forEach(ReferenceCountUtil::release);
            frames.clear();
        }
    }

    private final Door door;
    final Pool pool;
    final long openedAt;
    final FrameDecoder decoder = FrameDecoder.ofServer(Limits.LONGEST_MESSAGE);
    State state = State.OPENING;
    long idleSince;
    Send send;
    private Channel channel;
    private Answer answer = new Answer();
    private boolean written;
    private boolean spoilt;
    private boolean used, kept; // kept: it has carried a statement before this one
    private Outcome whyNot = Outcome.NO_CONNECTION; // what waits for this connection gets if it never comes up

    MemberConnection(Door door, Pool pool, long openedAt) {
        this.door = door;
        this.pool = pool;
        this.openedAt = openedAt;
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Messages.startup(ctx.alloc().buffer(64), "reedquay", "reedquay"));
    }

    /** Sends the query of a send that has this connection to itself from here on. */
    void write(Send next) {
        door.counters.must(state == State.IDLE || state == State.RESERVED, "one send at a time on a connection");
        kept = used;
        used = true;
        state = State.BUSY;
        send = next;
        next.connection = this;
        written = false;
        answer = new Answer();
        if (next.callOut != null) {
            next.callOut.waiting = false;
        }
        ByteBuf query = next.callOut == null ? door.probeQuery(channel.alloc())
                : door.query(next, channel.alloc());
        channel.writeAndFlush(query).addListener(f -> written |= send == next && f.isSuccess());
        if (!channel.isActive()) {
            closed();
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
                    if (state != State.BUSY || answer.error != null || answer.complete()
                            || ANSWER.charAt(answer.frames.size()) != frame.type || !frame.wellFormed()) {
                        breach("an answer that is spoilt, or that nothing asked for");
                        return;
                    }
                    answer.frames.add(frame);
                    kept = true;
                }
                case 'E' -> error(frame);
                case 'S', 'N' -> {
                    if (state == State.BUSY && frame.type == 'S') {
                        parameter(frame);
                    } else if (state != State.BUSY && state != State.OPENING) {
                        breach("more than the answer");
                    }
                }
                case 'Z' -> readyForQuery();
                case 'R' -> {
                    if (state != State.OPENING || frame.bodyLength() < 4 || frame.content().getInt(frame.body()) != 0) {
                        breach("a request for authentication that is not known here");
                    }
                }
                case 'K' -> { }
                default -> breach("a message that answers no simple query");
            }
        } finally {
            if (!kept) {
                frame.release();
            }
        }
    }

    private void error(Frame frame) {
        String code = frame.wellFormed() ? frame.fields().getOrDefault('C', "") : "";
        if (state == State.OPENING) {
            whyNot = code.equals("53300") ? Outcome.FULL : Outcome.NO_CONNECTION;
            channel.close();
        } else if (state != State.BUSY) {
            close(); // it says why it is about to close
        } else if (code.isEmpty() || answer.error != null || answer.complete()) {
            breach("an error that is spoilt");
        } else {
            answer.error = code;
        }
    }

    private void parameter(Frame frame) {
        String name = frame.text(0);
        String value = frame.text(name.length() + 1);
        if (name.equals("node_role")) {
            answer.role = value.equals("leader") ? Role.PRIMARY : value.equals("follower") ? Role.REPLICA
                    : Role.UNKNOWN;
        } else if (name.equals("replay_position")) {
            try {
                answer.millis = Long.parseLong(value.strip());
                answer.positioned = door.credible(answer.millis);
            } catch (NumberFormatException e) {
                door.counters.add("member.position.unreadable");
            }
        } else if (name.equals("server_load")) {
            answer.load = value;
        }
    }

    private void readyForQuery() {
        if (state == State.OPENING) {
            pool.cameUp();
            settled();
        } else if (state == State.BUSY) {
            if (!answer.complete() && answer.error == null) {
                breach("ready for a query without an answer to the last one");
                return;
            }
            Send finished = send;
            Answer whole = answer;
            answer = new Answer();
            send = null;
            state = State.SETTLING;
            door.answered(finished, whole);
            door.settle(this);
        } else {
            breach("ready for a query twice");
        }
    }

    /**
     * Free again, if nothing came behind the last answer. Guards against the gravest mistake, a second copy of one
     * answer that passes for the answer to the next statement: it is waited for, what comes ends the connection
     */
    void settled() {
        if (state == State.CLOSED || !channel.isActive()) {
            return;
        }
        if (!clean()) {
            breach("more than the answer");
            return;
        }
        state = State.IDLE;
        idleSince = door.clock.now();
        pool.ready(this);
    }

    /** Whether nothing of a further message has come. */
    boolean clean() {
        return !decoder.begun();
    }

    private void breach(String what) {
        door.counters.add("member.breach");
        door.logOnce("a member sent what the protocol does not allow: " + what);
        spoilt = state == State.BUSY; // it has run: nothing of it is passed on or believed
        channel.close();
        closed();
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        closed();
    }

    /** The connection is gone, whoever ended it. */
    private void closed() {
        State before = state;
        if (before == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        Send broken = send;
        Answer last = answer;
        send = null;
        answer = null;
        door.limits.memberClosed();
        pool.closed(this, before, whyNot);
        if (broken != null && !spoilt && (last.complete() || last.error != null)) {
            door.answered(broken, last); // whole, though no ReadyForQuery came
            return;
        }
        last.release();
        if (broken != null) {
            // guards against calling unsent what was written: unsure counts as may have run; and against holding it
            // against a member that a connection kept to it was of no more use: a dead process refuses the next one
            door.ended(broken, spoilt ? Outcome.SPOILT : !written ? Outcome.NO_CONNECTION
                    : kept ? Outcome.STALE : Outcome.RESET);
        }
    }

    /** Closes without a word to whoever waits: the send was given up. */
    void giveUp() {
        send = null;
        close();
    }

    void close() {
        if (state == State.IDLE) {
            channel.writeAndFlush(Messages.terminate(channel.alloc().buffer(8)));
        }
        channel.close();
        closed();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException) && state != State.CLOSED) {
            breach("what is no message, or one of an impossible length");
        }
        ctx.close();
    }

    /** The load report that a probe or an answer brought. */
    static Report report(Door door, Answer answer, boolean fromRow) {
        String text = answer.load;
        if (fromRow && answer.frames.size() == 3) {
            Frame row = answer.frames.get(1);
            text = row.type == 'D' && row.bodyLength() > 6 ? row.text(6) : text;
        }
        try {
            return text == null ? Report.NONE : door.reports.named(text);
        } catch (NumberFormatException | ArithmeticException e) {
            door.counters.add("member.report.unreadable");
            return Report.NONE;
        }
    }
}
