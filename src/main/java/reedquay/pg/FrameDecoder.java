package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/** Cuts a stream of protocol version 3 into its messages, in either direction. */
public final class FrameDecoder extends ByteToMessageDecoder {
    private static final int MAX_UNTYPED_BYTES = 10_000; // what the protocol's own servers allow a first message

    private static final int ONE_COLUMN_ROW_HEADER_BYTES = 11; // type, length, number of columns, length of the first

    private final int limit;
    private final String types;
    private boolean first;
    private boolean broken;
    private long discarded;

    /** first: the stream begins with messages that have no type; types: those that may come after that. */
    public FrameDecoder(boolean first, String types, int limit) {
        this.first = first;
        this.types = types;
        this.limit = limit;
    }

    /** A stream from a client. */
    public static FrameDecoder forClient(int limit) {
        return new FrameDecoder(true, "QXPBDECHSFpdcf", limit);
    }

    /** A stream from a server. */
    public static FrameDecoder forServer(int limit) {
        return new FrameDecoder(false, "RSKZTDCEINA123nstvGHWdcV", limit);
    }

    /** Whether something of a message has come that is not whole, or of none. */
    public boolean hasPartialMessage() {
        return broken || actualReadableBytes() > 0;
    }

    /** How many bytes wait for the rest of their message. */
    public int bufferedBytes() {
        return broken ? 0 : actualReadableBytes();
    }

    /** From here on all that comes is passed over; beyond what one message may have, the connection is closed. */
    public void discardInput() {
        broken = true;
    }

    @Override protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (broken) {
            discarded += in.readableBytes();
            in.skipBytes(in.readableBytes());
            if (discarded > limit) {
                ctx.close();
            }
            return;
        }
        int head = first ? 0 : 1;
        if (in.readableBytes() < head + 4) {
            return;
        }
        byte type = first ? Frame.UNTYPED : in.getByte(in.readerIndex());
        int length = in.getInt(in.readerIndex() + head);
        if (!first && types.indexOf(type) < 0) {
            broken = true;
            throw new CorruptedFrameException("no message has the type " + (type & 0xff));
        }
        if (length < (first ? 8 : 4) || length > (first ? MAX_UNTYPED_BYTES : limit)) {
            broken = true;
            throw new CorruptedFrameException("a message cannot have the length " + length);
        }
        // guards against waiting for a value whose own length already proves that it doesn't fit
        boolean row = type == 'D' && !first && in.readableBytes() >= ONE_COLUMN_ROW_HEADER_BYTES;
        if (row && in.getShort(in.readerIndex() + 5) == 1 && in.getInt(in.readerIndex() + 7) >= 0
                && in.getInt(in.readerIndex() + 7) != length - ONE_COLUMN_ROW_HEADER_BYTES + 1) {
            broken = true;
            throw new CorruptedFrameException("a value does not fit its row");
        }
        if (in.readableBytes() < head + length) {
            return;
        }
        Frame frame = new Frame(type, in.readRetainedSlice(head + length));
        // after a request for encryption the real first message is still to come
        first &= frame.startupCode() == Frame.SSL_REQUEST || frame.startupCode() == Frame.GSS_ENCRYPTION_REQUEST;
        out.add(frame);
    }
}
