package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.List;
import reedquay.pg.Frame;

/** The answers to one client: those of one turn are written together, so that short ones cost no buffer each. */
final class ClientOutput {
    private static final int INITIAL_BYTES = 256;
    private static final int FLUSH_BYTES = 8 * 1024;
    private static final int MAX_COPIED_BYTES = 4 * 1024;

    private final Channel channel;
    private ByteBuf collected; // null for none

    ClientOutput(Channel channel) {
        this.channel = channel;
    }

    /** The buffer to which the next answer is appended. */
    ByteBuf buffer() {
        if (collected == null) {
            collected = channel.alloc().buffer(INITIAL_BYTES);
        }
        return collected;
    }

    /** Appends the messages of an answer; short ones are copied, since they may keep a larger buffer of a member. */
    void append(List<Frame> frames) {
        int bytes = frames.stream().mapToInt(frame -> frame.content().readableBytes()).sum();
        if (bytes <= MAX_COPIED_BYTES) {
            frames.forEach(frame -> buffer().writeBytes(frame.content().duplicate()));
            return;
        }
        writeCollected();
        frames.forEach(frame -> channel.write(frame.content().retain()));
    }

    private void writeCollected() {
        if (collected != null) {
            ByteBuf out = collected;
            collected = null;
            channel.write(out);
        }
    }

    /** Sends all answers. */
    void flush() {
        if (collected != null) {
            writeCollected();
            channel.flush();
        }
    }

    /** Sends the answers if there are many. */
    void flushIfLarge() {
        if (collected != null && collected.readableBytes() >= FLUSH_BYTES) {
            flush();
        }
    }

    /** Sends all answers; the future completes once the last one is written to the socket. */
    ChannelFuture flushToSocket() {
        flush();
        return channel.writeAndFlush(channel.alloc().buffer(0));
    }

    /** Whether the client reads its answers, so that more may be written. */
    boolean isWritable() {
        return channel.isWritable();
    }

    /** The bytes of answers that wait until the client has read those before them. */
    long unreadBytes() {
        ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
        return unwritten == null ? 0 : unwritten.totalPendingWriteBytes();
    }

    /** Releases what is not sent. */
    void clear() {
        if (collected != null) {
            collected.release();
            collected = null;
        }
    }
}
