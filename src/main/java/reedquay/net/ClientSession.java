package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelFutureListener;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import reedquay.core.Rpc;
import reedquay.pg.Frame;
import reedquay.pg.Messages;

/** One client's connection: takes its messages in order, one RPC in hand at a time. */
final class ClientSession extends ChannelInboundHandlerAdapter {
    private enum State { FIRST, FREE, BLOCKED, IN_HAND, SKIPPING, CLOSING }

    private final Gateway gateway;
    private final Door door;
    private final ArrayDeque<Frame> ahead = new ArrayDeque<>();
    private int aheadBytes;
    private State state = State.FIRST;
    private Channel channel;
    private Rpc rpc;
    private Statement statement;
    private boolean draining;
    private boolean counted;

    ClientSession(Gateway gateway, Door door) {
        this.gateway = gateway;
        this.door = door;
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override public void channelActive(ChannelHandlerContext ctx) {
        counted = true;
        door.counters.add("client.accepted");
        gateway.opened(this);
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        Frame frame = (Frame) message;
        ahead.addLast(frame);
        aheadBytes += frame.content().readableBytes();
        door.limits.hold(frame.content().readableBytes());
        takeNext();
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.flush();
    }

    @Override public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        takeNext();
    }

    /** Works through what has come, as far as the one RPC in hand and a client that reads allow. */
    private void takeNext() {
        while (!ahead.isEmpty() && state != State.IN_HAND && state != State.BLOCKED
                && (channel.isWritable() || state == State.CLOSING)) {
            Frame frame = ahead.pollFirst();
            aheadBytes -= frame.content().readableBytes();
            try {
                take(frame);
            } finally {
                release(frame);
            }
        }
        // a client that sends ahead without end, or reads nothing, is not read from; nobody is while memory is short
        channel.config().setAutoRead(aheadBytes <= door.limits.waitingBytes && !door.limits.full());
        if (draining && state == State.FREE && ahead.isEmpty()) {
            end();
        }
        gateway.free(this, state == State.FREE && ahead.isEmpty());
    }

    private void take(Frame frame) {
        if (state == State.CLOSING) {
            return;
        }
        if (frame.type == Frame.FIRST) {
            first(frame);
            return;
        }
        switch (frame.type) {
            case 'Q' -> {
                if (state == State.SKIPPING) {
                    return;
                }
                query(frame);
            }
            case 'X' -> end();
            case 'P', 'B', 'D', 'E', 'C', 'F' -> {
                if (state != State.SKIPPING) {
                    write(Messages.error(buffer(), "ERROR", "0A000", "only simple queries are served", null));
                    state = State.SKIPPING;
                }
            }
            case 'S' -> {
                state = State.FREE;
                write(Messages.ready(buffer()));
            }
            case 'H', 'd', 'c', 'f' -> { }
            default -> fatal("08P01", "a message that has no meaning here");
        }
    }

    private void first(Frame frame) {
        switch (frame.code()) {
            case Frame.SSL, Frame.GSS -> write(buffer().writeByte('N'));
            case Frame.CANCEL -> end();
            default -> {
                if (frame.code() >>> 16 != 3) {
                    fatal("0A000", "only version 3 of the protocol is served");
                    return;
                }
                state = State.FREE;
                write(Messages.ready(Messages.welcome(buffer(), 1, 1)));
            }
        }
    }

    private void query(Frame frame) {
        String head = frame.text(0);
        String word = head.length() > 64 ? "" : head.strip().replaceAll("[;\\s]+$", "").toUpperCase(Locale.ROOT);
        if (word.isEmpty() && head.length() <= 64) {
            state = State.BLOCKED;
            gateway.whenReady(this::answerEmpty);
        } else if (word.equals("SHOW COUNTERS")) {
            showCounters();
        } else if (word.matches("(SET|RESET|DISCARD)( .*)?")) {
            write(Messages.ready(Messages.complete(buffer(), word.replaceAll(" .*", ""))));
        } else {
            rpc(frame);
        }
    }

    private void answerEmpty() {
        if (state == State.BLOCKED) {
            state = State.FREE;
            write(Messages.ready(Messages.emptyQuery(buffer())));
            takeNext();
            channel.flush();
        }
    }

    private void showCounters() {
        ByteBuf out = Messages.columns(buffer(), "name", "value");
        Map<String, Long> all = door.counters.read();
        all.forEach((name, value) -> Messages.row(out, name, value.toString()));
        write(Messages.ready(Messages.complete(out, "SELECT " + all.size())));
    }

    private void rpc(Frame frame) {
        Statement next;
        try {
            next = new Statement(frame);
            if (door.method(next.method) == null) {
                throw new Statement.Unfit("no class has the name " + next.method);
            }
        } catch (Statement.Unfit e) {
            door.counters.add("client.unfit");
            write(Messages.ready(Messages.error(buffer(), "ERROR", "42601", e.getMessage(), null)));
            return;
        }
        frame.retain(); // until its final answer
        door.limits.hold(frame.content().readableBytes());
        statement = next;
        state = State.IN_HAND;
        rpc = door.arrived(this, statement);
        Rpc taken = rpc;
        door.input(d -> d.arrived(taken));
    }

    Statement statement() {
        return statement;
    }

    /** The final answer as the member's bytes. */
    void serve(List<Frame> frames) {
        frames.forEach(f -> channel.write(f.content().retain()));
        answered(Messages.ready(buffer()));
    }

    /** The final answer as an error; millis: when to come back, null for no advice. */
    void refuse(String code, String message, String millis) {
        answered(Messages.ready(Messages.error(buffer(), "ERROR", code, message, millis)));
    }

    private void answered(ByteBuf last) {
        channel.writeAndFlush(last);
        settle();
        state = State.FREE;
        // guards against an RPC that is taken from within the batch of decisions that answered the last one
        door.afterwards(this::resume);
    }

    /** Goes on with what came ahead, or reads again. */
    void resume() {
        if (channel.isActive()) {
            takeNext();
            channel.flush();
        }
    }

    private void release(Frame frame) {
        door.limits.hold(-frame.content().readableBytes());
        frame.release();
    }

    private void settle() {
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
            end();
        }
    }

    void end() {
        state = State.CLOSING;
        channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
    }

    private void fatal(String code, String message) {
        door.counters.add("client.malformed");
        door.logOnce("a client sent what the protocol does not allow: " + message);
        state = State.CLOSING;
        channel.writeAndFlush(Messages.error(buffer(), "FATAL", code, message, null))
                .addListener(ChannelFutureListener.CLOSE);
    }

    @Override public void channelInactive(ChannelHandlerContext ctx) {
        state = State.CLOSING;
        ahead.forEach(this::release);
        ahead.clear();
        if (rpc != null) {
            Rpc left = rpc;
            settle();
            door.clientGone(left);
        }
        if (counted) {
            counted = false;
            gateway.closed(this);
        }
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof java.io.IOException) {
            ctx.close();
        } else if (state != State.CLOSING) {
            fatal("08P01", String.valueOf(cause.getMessage()));
        }
    }

    private ByteBuf buffer() {
        return channel.alloc().buffer(128);
    }

    private void write(ByteBuf out) {
        channel.write(out);
    }
}
