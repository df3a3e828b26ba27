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

    private final int maxMessageBytes;
    private final String allowedTypes;
    private boolean expectsUntyped;
    private boolean discarding;
    private long discardedBytes;

    /** first: the stream begins with messages that have no type; types: those that may come after that. */
    public FrameDecoder(boolean expectsUntyped, String allowedTypes, int maxMessageBytes) {
        this.expectsUntyped = expectsUntyped;
        this.allowedTypes = allowedTypes;
        this.maxMessageBytes = maxMessageBytes;
    }

    /** A stream from a client. */
    public static FrameDecoder forClient(int maxMessageBytes) {
        return new FrameDecoder(true, "QXPBDECHSFpdcf", maxMessageBytes);
    }

    /** A stream from a server. */
    public static FrameDecoder forServer(int maxMessageBytes) {
        return new FrameDecoder(false, "RSKZTDCEINA123nstvGHWdcV", maxMessageBytes);
    }

    /** Whether something of a message has come that is not whole, or of none. */
    public boolean hasPartialMessage() {
        return discarding || actualReadableBytes() > 0;
    }

    /** How many bytes wait for the rest of their message. */
    public int bufferedBytes() {
        return discarding ? 0 : actualReadableBytes();
    }

    /** From here on all that comes is passed over; beyond what one message may have, the connection is closed. */
    public void discardInput() {
        discarding = true;
    }

    @Override protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (discarding) {
            discardedBytes += in.readableBytes();
            in.skipBytes(in.readableBytes());
            if (discardedBytes > maxMessageBytes) {
                ctx.close();
            }
            return;
        }
        int typeBytes = expectsUntyped ? 0 : 1;
        if (in.readableBytes() < typeBytes + 4) {
            return;
        }
        byte type = expectsUntyped ? Frame.UNTYPED : in.getByte(in.readerIndex());
        int length = in.getInt(in.readerIndex() + typeBytes);
        if (!expectsUntyped && allowedTypes.indexOf(type) < 0) {
            discarding = true;
            throw new CorruptedFrameException("no message has the type " + (type & 0xff));
        }
        if (length < (expectsUntyped ? 8 : 4) || length > (expectsUntyped ? MAX_UNTYPED_BYTES : maxMessageBytes)) {
            discarding = true;
            throw new CorruptedFrameException("a message cannot have the length " + length);
        }
        // guards against waiting for a value whose own length already proves that it doesn't fit
        boolean oneColumnRow = type == 'D' && !expectsUntyped && in.readableBytes() >= ONE_COLUMN_ROW_HEADER_BYTES;
        if (oneColumnRow && in.getShort(in.readerIndex() + 5) == 1 && in.getInt(in.readerIndex() + 7) >= 0
                && in.getInt(in.readerIndex() + 7) != length - ONE_COLUMN_ROW_HEADER_BYTES + 1) {
            discarding = true;
            throw new CorruptedFrameException("a value does not fit its row");
        }
        if (in.readableBytes() < typeBytes + length) {
            return;
        }
        Frame frame = new Frame(type, in.readRetainedSlice(typeBytes + length));
        // after a request for encryption the real first message is still to come
        expectsUntyped &= frame.startupCode() == Frame.SSL_REQUEST || frame.startupCode() == Frame.GSS_ENCRYPTION_REQUEST;
        out.add(frame);
    }
}
