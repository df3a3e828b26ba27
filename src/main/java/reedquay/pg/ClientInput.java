package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.CorruptedFrameException;

/**
 * What a client has sent and nobody has handled yet, as the bytes received: a message takes nothing but its bytes until
 * it is asked for, however short it is. Where no more bytes may be kept, further messages are refused: they are only
 * counted, from the next one that is not complete until all that wait have been handled.
 */
public final class ClientInput {
    /** Visits messages that wait. */
    public interface MessageVisitor {
        /** A message of that type, whose body lies between the indexes of the buffer; valid during the call. */
        void visit(byte type, ByteBuf buffer, int bodyStart, int bodyEnd);
    }

    private static final MessageVisitor IGNORE = (type, buffer, bodyStart, bodyEnd) -> { };
    private static final int MAX_EXAMINED = 1_000; // messages, where only those that are dropped are counted
    private static final int MAX_WASTED_BYTES = 4096; // of a buffer that is kept as it came
    private static final int MAX_RESERVED_RATIO = 4; // of a buffer to what is kept in it, before it is copied
    private static final int MAX_ENCRYPTION_REQUESTS = 2; // one for TLS, one for GSSAPI, as in PostgreSQL

    private final int maxMessageBytes;
    private ByteBuf received = Unpooled.EMPTY_BUFFER;
    private RefusedMessages refused; // null while messages are kept
    private long refusedBefore; // messages that ended while earlier ones were refused
    private int scannedBytes; // of those that are kept, from the first: their messages were passed to a visitor
    private boolean expectsUntyped = true;
    private int encryptionRequests;
    private boolean discarding;

    /** maxMessageBytes: the limit of a message's length field. */
    public ClientInput(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /** Adds bytes that have been received, which this object owns from now on. Throws as next() does. */
    public void add(ByteBuf bytes) {
        if (discarding) {
            bytes.release();
        } else if (refused != null) {
            try {
                refused.read(bytes);
            } finally {
                bytes.release();
            }
        } else {
            keep(bytes);
        }
    }

    private void keep(ByteBuf bytes) {
        if (!received.isReadable() && bytes.writableBytes() <= MAX_WASTED_BYTES) {
            received.release();
            received = bytes;
            return;
        }
        try {
            if (!received.isReadable()) {
                received.release();
                received = bytes.alloc().buffer(bytes.readableBytes());
            } else if (received.readerIndex() > received.writerIndex() / 2) {
                received.discardReadBytes();
            }
            received.writeBytes(bytes);
        } finally {
            bytes.release();
        }
    }

    /**
     * The next message, in order, null where none is complete. Its content is valid until the next call of a method
     * other than a plain question, and copied by whoever keeps it for longer. Throws CorruptedFrameException at an
     * unknown type or an impossible length.
     */
    public Frame next() {
        int length = nextLength();
        if (length == MessageHeader.INCOMPLETE) {
            if (!received.isReadable()) {
                clearReceived();
            }
            return null;
        }
        byte type = expectsUntyped ? Frame.UNTYPED : received.getByte(received.readerIndex());
        Frame frame = new Frame(type, received.readRetainedSlice(length));
        scannedBytes = Math.max(0, scannedBytes - length);
        if (expectsUntyped) {
            expectsUntyped = isEncryptionRequest(frame);
            if (expectsUntyped && ++encryptionRequests > MAX_ENCRYPTION_REQUESTS) {
                frame.release();
                throw new CorruptedFrameException("too many requests for encryption");
            }
        }
        return frame;
    }

    private static boolean isEncryptionRequest(Frame frame) {
        return frame.startupCode() == Frame.SSL_REQUEST || frame.startupCode() == Frame.GSS_ENCRYPTION_REQUEST;
    }

    /** The bytes of the first message that is kept, its type included; INCOMPLETE where it is not complete. */
    private int nextLength() {
        int length = MessageHeader.length(received, received.readerIndex(), expectsUntyped, MessageHeader.CLIENT_TYPES,
                maxMessageBytes);
        int bytes = length + (expectsUntyped ? 0 : 1);
        boolean isComplete = length != MessageHeader.INCOMPLETE && bytes <= received.readableBytes();
        return isComplete ? bytes : MessageHeader.INCOMPLETE;
    }

    /** Whether next() would return a message, or throw. */
    public boolean hasMessage() {
        try {
            return nextLength() != MessageHeader.INCOMPLETE;
        } catch (CorruptedFrameException e) {
            return true;
        }
    }

    /** Visits the messages that are complete and have not been visited by this method before, after the startup. */
    public void visitNew(MessageVisitor visitor) {
        if (!expectsUntyped) {
            int end = walk(received.readerIndex() + scannedBytes, Integer.MAX_VALUE, visitor);
            scannedBytes = end - received.readerIndex();
        }
    }

    /** Visits the messages that visitNew() has visited and that still wait. */
    public void visitWaiting(MessageVisitor visitor) {
        int unscanned = received.readerIndex() + scannedBytes;
        walk(received.readerIndex(), Integer.MAX_VALUE, (type, buffer, start, end) -> {
            if (end <= unscanned) {
                visitor.visit(type, buffer, start, end);
            }
        });
    }

    // ---- Messages that are refused ----

    /**
     * Keeps no further message; the one that is not complete yet is the first that is refused, and trim() releases its
     * bytes. Without effect before the startup message is complete. Throws as next() does.
     */
    public void refuseFurther() {
        if (refused != null || expectsUntyped || discarding) {
            return;
        }
        int completeEnd = completeEnd();
        refused = new RefusedMessages(maxMessageBytes);
        refused.read(received.slice(completeEnd, received.writerIndex() - completeEnd));
        received.writerIndex(completeEnd);
    }

    /** The index behind the last message that is complete, of those before the first malformed one. */
    private int completeEnd() {
        return walk(received.readerIndex(), Integer.MAX_VALUE, IGNORE);
    }

    /** Visits the messages that are complete, from the index on; returns the index behind the last one visited. */
    private int walk(int start, int maxMessages, MessageVisitor visitor) {
        int index = start;
        try {
            for (int visited = 0; visited < maxMessages; visited++) {
                int length = MessageHeader.length(received, index, false, MessageHeader.CLIENT_TYPES, maxMessageBytes);
                if (length == MessageHeader.INCOMPLETE || index + 1 + length > received.writerIndex()) {
                    return index;
                }
                int end = index + 1 + length;
                visitor.visit(received.getByte(index), received, index + MessageHeader.BYTES, end);
                index = end;
            }
            return index;
        } catch (CorruptedFrameException e) {
            return index;
        }
    }

    /** Whether any message that is complete has one of these types, a letter each, or was refused. */
    public boolean hasMessageOfType(String types) {
        if (refusedMessages() > 0 || expectsUntyped) {
            return refusedMessages() > 0;
        }
        boolean[] found = {false};
        int index = received.readerIndex();
        for (int next = index; !found[0]; index = next) {
            next = walk(index, 1, (type, buffer, start, end) -> found[0] = types.indexOf(type) >= 0);
            if (next == index) {
                break;
            }
        }
        return found[0];
    }

    /**
     * Drops all messages that are complete, after the startup; returns how many queries were among the first of them.
     * Does not look at all of them, since at an end there may be no time for that.
     */
    public long dropMessages() {
        if (expectsUntyped) {
            return 0;
        }
        long[] queries = {refusedMessages()};
        received.readerIndex(walk(received.readerIndex(), MAX_EXAMINED,
                (type, buffer, start, end) -> queries[0] += type == 'Q' ? 1 : 0));
        scannedBytes = 0;
        refused = null;
        if (hasMessage()) {
            clear();
        }
        return queries[0];
    }

    /** Whether messages are refused now. */
    public boolean isRefusing() {
        return refused != null;
    }

    /** How many refused messages are owed an answer. */
    public long refusedMessages() {
        return refused == null ? 0 : refused.unanswered();
    }

    /** How many messages have ended that were read past and not kept, of any kind. */
    public long refusedInAll() {
        return refusedBefore + (refused == null ? 0 : refused.ended());
    }

    /** Whether the client has ended its connection by a message behind those that are refused. */
    public boolean isTerminated() {
        return refused != null && refused.isTerminated() && refused.unanswered() == 0;
    }

    /** A refused message is answered. After the last one messages are kept again, once none is read in part. */
    public void refusedAnswered() {
        refused.answered();
        keepAgain();
    }

    /** Keeps messages again where nothing waits that was sent before them. */
    public void keepAgain() {
        if (refused != null && refused.unanswered() == 0 && !refused.isInsideMessage() && !refused.isTerminated()
                && !received.isReadable()) {
            ByteBuf header = refused.partialHeader(ByteBufAllocator.DEFAULT);
            refusedBefore += refused.ended();
            refused = null;
            keep(header);
        }
    }

    // ---- State ----

    /** Whether a message is incomplete, and nothing before it waits. */
    public boolean hasPartialMessage() {
        if (refused != null && refused.hasPartialMessage()) {
            return refused.unanswered() == 0 && !received.isReadable();
        }
        return received.isReadable() && !hasMessage();
    }

    /** The bytes that are kept. */
    public int bytes() {
        return received.readableBytes();
    }

    /** The capacity of the buffer that keeps them: what they take of the memory. */
    public int reservedBytes() {
        return received.capacity();
    }

    /** What reservedBytes() would be if so many more bytes were kept. */
    public int reservedBytesWith(int moreBytes) {
        int bytes = received.readableBytes() + moreBytes;
        return bytes <= received.capacity() ? received.capacity()
                : ByteBufAllocator.DEFAULT.calculateNewCapacity(bytes, Integer.MAX_VALUE);
    }

    /** Discards all that comes from now on, and the message that is not complete or has thrown. */
    public void discardFurther() {
        if (discarding) {
            return;
        }
        discarding = true;
        if (expectsUntyped) {
            clearReceived();
            return;
        }
        received.writerIndex(completeEnd());
        if (!received.isReadable()) {
            clearReceived();
        }
    }

    /** Releases the buffer where nothing is kept in it; copies what is kept to a smaller one where that is little. */
    public void trim() {
        int bytes = received.readableBytes();
        if (bytes == 0) {
            clearReceived();
        } else if (received.capacity() > MAX_WASTED_BYTES && received.capacity() / MAX_RESERVED_RATIO > bytes) {
            ByteBuf smaller = received.alloc().buffer(bytes);
            smaller.writeBytes(received);
            received.release();
            received = smaller;
        }
    }

    /** Releases all that is kept. */
    public void clear() {
        discarding = true;
        refused = null;
        clearReceived();
    }

    private void clearReceived() {
        scannedBytes = 0;
        received.release();
        received = Unpooled.EMPTY_BUFFER;
    }
}
