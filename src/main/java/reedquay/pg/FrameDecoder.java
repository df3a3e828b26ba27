package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/**
 * Splits a byte stream of the PostgreSQL protocol, version 3, into messages, in either direction. Throws
 * CorruptedFrameException at an unknown type or an impossible length, and then discards all further input.
 */
public final class FrameDecoder extends ByteToMessageDecoder {
    /** Bytes of a DataRow before its first value: type, length, number of columns, length of the value. */
    private static final int ONE_COLUMN_ROW_HEADER_BYTES = 11;

    private final int maxMessageBytes;
    private final String allowedTypes;
    private boolean expectsUntyped;
    private boolean discarding;
    private ChannelHandlerContext context;

    /**
     * expectsUntyped: whether the stream begins with messages that have no type; allowedTypes: the types that may come
     * after that, a letter each; maxMessageBytes: the limit of a message's length field.
     */
    public FrameDecoder(boolean expectsUntyped, String allowedTypes, int maxMessageBytes) {
        this.expectsUntyped = expectsUntyped;
        this.allowedTypes = allowedTypes;
        this.maxMessageBytes = maxMessageBytes;
    }

    /** A decoder for what clients send. */
    public static FrameDecoder forClient(int maxMessageBytes) {
        return new FrameDecoder(true, MessageHeader.CLIENT_TYPES, maxMessageBytes);
    }

    /** A decoder for what servers send. */
    public static FrameDecoder forServer(int maxMessageBytes) {
        return new FrameDecoder(false, "RSKZTDCEINA123nstvGHWdcV", maxMessageBytes);
    }

    /** Whether part of an incomplete message has been received, or input is being discarded. */
    public boolean hasPartialMessage() {
        return discarding || actualReadableBytes() > 0;
    }

    /** The number of bytes received of an incomplete message; 0 while input is being discarded. */
    public int bufferedBytes() {
        return discarding ? 0 : actualReadableBytes();
    }

    /** The capacity of the buffer that holds an incomplete message: what it takes of the memory; 0 without one. */
    public int reservedBytes() {
        return internalBuffer().capacity();
    }

    /**
     * Releases the incomplete message and discards all further input; closes the connection when that exceeds the limit
     * of one message. Messages that were passed on are not affected.
     */
    public void discardInput() {
        discarding = true;
        if (context != null && !context.isRemoved()) {
            internalBuffer().skipBytes(internalBuffer().readableBytes()); // else it would be passed on
            context.pipeline().replace(this, null, new InputDiscarder(maxMessageBytes));
        }
    }

    @Override public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (discarding) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int typeBytes = expectsUntyped ? 0 : 1;
        int length;
        try {
            length = MessageHeader.length(in, in.readerIndex(), expectsUntyped, allowedTypes, maxMessageBytes);
        } catch (CorruptedFrameException e) {
            discarding = true;
            throw e;
        }
        if (length == MessageHeader.INCOMPLETE) {
            return;
        }
        byte type = expectsUntyped ? Frame.UNTYPED : in.getByte(in.readerIndex());
        // checked early: there is no point in waiting for a value whose length already contradicts the message's length
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
        // after a request for encryption the startup message still follows
        expectsUntyped &= frame.startupCode() == Frame.SSL_REQUEST
                || frame.startupCode() == Frame.GSS_ENCRYPTION_REQUEST;
        out.add(frame);
    }
}
