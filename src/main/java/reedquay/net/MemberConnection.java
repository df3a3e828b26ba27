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
import reedquay.pg.Messages;

/** One connection to a member; carries one send at a time. */
final class MemberConnection extends ChannelInboundHandlerAdapter {
    enum State { OPENING, IDLE, RESERVED, BUSY, CLOSED }

    /** What came back for a send, up to ReadyForQuery. */
    static final class Answer {
        final List<Frame> frames = new ArrayList<>(3); // row description, row, completion
        boolean complete;
        String error; // its SQLSTATE
        Role role = Role.UNKNOWN;
        long millis;
        boolean positioned;
        String load;

        void release() {
            frames.forEach(ReferenceCountUtil::release);
            frames.clear();
        }
    }

    private final Door door;
    final Pool pool;
    final long openedAt;
    State state = State.OPENING;
    long idleSince;
    Send send;
    private Channel channel;
    private Answer answer = new Answer();
    private boolean written;
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
            switch (frame.type) {
                case 'T', 'D', 'C' -> {
                    if (state != State.BUSY || answer.complete) {
                        breach("an answer that nothing asked for");
                        return;
                    }
                    answer.complete = frame.type == 'C';
                    answer.frames.add(frame);
                    kept = true;
                }
                case 'E' -> error(frame.fields().getOrDefault('C', ""));
                case 'S' -> parameter(frame);
                case 'Z' -> readyForQuery();
                case 'R' -> {
                    if (state != State.OPENING || frame.bodyLength() < 4 || frame.content().getInt(frame.body()) != 0) {
                        breach("a request for authentication that is not known here");
                    }
                }
                case 'K', 'N', 'I' -> { }
                default -> breach("a message that answers no simple query");
            }
        } finally {
            if (!kept) {
                frame.release();
            }
        }
    }

    private void error(String code) {
        if (state == State.OPENING) {
            whyNot = code.equals("53300") ? Outcome.FULL : Outcome.NO_CONNECTION;
            channel.close();
        } else if (state == State.BUSY) {
            answer.error = code;
        } else {
            channel.close(); // it says why it is about to close
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
                answer.positioned = true;
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
            idle();
        } else if (state == State.BUSY) {
            if (!answer.complete && answer.error == null) {
                breach("ready for a query without an answer to the last one");
                return;
            }
            Send finished = send;
            Answer whole = answer;
            answer = new Answer();
            send = null;
            state = State.IDLE;
            door.answered(finished, whole);
            if (channel.isActive()) {
                idle();
            }
        } else {
            breach("ready for a query twice");
        }
    }

    private void idle() {
        state = State.IDLE;
        idleSince = door.clock.now();
        pool.ready(this);
    }

    private void breach(String what) {
        door.counters.add("member.breach");
        door.logOnce("a member sent what the protocol does not allow: " + what);
        if (state == State.BUSY) {
            answer.complete = false; // may have run: nothing of it is passed on
            answer.error = null;
        }
        channel.close();
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
        if (broken != null && (last.complete || last.error != null)) {
            door.answered(broken, last); // whole, though no ReadyForQuery came
            return;
        }
        last.release();
        if (broken != null) {
            // guards against calling unsent what was written: unsure counts as may have run
            door.ended(broken, written ? Outcome.RESET : Outcome.NO_CONNECTION);
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
        if (!(cause instanceof java.io.IOException)) {
            breach(String.valueOf(cause.getMessage()));
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
