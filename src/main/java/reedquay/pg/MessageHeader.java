package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;

/** The header of a message: its type, unless it has none, and its length. */
final class MessageHeader {
    /** The types that a client may send after its startup message, a letter each. */
    static final String CLIENT_TYPES = "QXPBDECHSFpdcf";
    /** The bytes of a type and a length. */
    static final int BYTES = 5;
    /** The length of a message whose header is not complete. */
    static final int INCOMPLETE = -1;

    private static final int LENGTH_BYTES = 4;
    private static final int MAX_UNTYPED_BYTES = 10_000; // PostgreSQL's own limit for a startup message
    private static final int MIN_UNTYPED_BYTES = 8;

    private MessageHeader() { }

    /**
     * The length field of the message that begins at the index: its bytes without the type; INCOMPLETE while the header
     * is. Throws CorruptedFrameException where the type is not among those allowed, or the length is impossible.
     */
    static int length(ByteBuf in, int index, boolean untyped, String allowedTypes, int maxLength) {
        int typeBytes = untyped ? 0 : 1;
        if (in.writerIndex() - index < typeBytes + LENGTH_BYTES) {
            return INCOMPLETE;
        }
        int length = in.getInt(index + typeBytes);
        if (!untyped) {
            check(in.getByte(index), length, allowedTypes, maxLength);
        } else if (length < MIN_UNTYPED_BYTES || length > MAX_UNTYPED_BYTES) {
            throw impossibleLength(length);
        }
        return length;
    }

    /** Throws CorruptedFrameException where a message of that type and length cannot be. */
    static void check(byte type, int length, String allowedTypes, int maxLength) {
        if (allowedTypes.indexOf(type) < 0) {
            throw new CorruptedFrameException("no message has the type " + (type & 0xff));
        }
        if (length < LENGTH_BYTES || length > maxLength) {
            throw impossibleLength(length);
        }
    }

    private static CorruptedFrameException impossibleLength(int length) {
        return new CorruptedFrameException("a message cannot have the length " + length);
    }
}
