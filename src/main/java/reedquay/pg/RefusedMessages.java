package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Reads past messages of a client whose content is not kept, and counts those that are owed an answer. So the end of
 * the client's input is found however much it has sent, at no memory for what it sends.
 */
final class RefusedMessages {
    private final int maxMessageBytes;
    private final byte[] header = new byte[MessageHeader.BYTES];
    private int headerBytes; // received of a header that is not complete
    private int remainingBytes; // still to come of the current message's body
    private byte currentType;
    private long ended;
    private long unanswered;
    private boolean terminated;

    RefusedMessages(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    /** Reads all of the bytes. Throws CorruptedFrameException as FrameDecoder does. */
    void read(ByteBuf in) {
        while (in.isReadable() && !terminated) {
            if (remainingBytes > 0) {
                int bytes = Math.min(remainingBytes, in.readableBytes());
                in.skipBytes(bytes);
                remainingBytes -= bytes;
            } else if (!readHeader(in)) {
                return;
            }
            if (remainingBytes == 0) {
                messageEnded();
            }
        }
    }

    /** Reads a header, or a part of one; returns whether it is complete. */
    private boolean readHeader(ByteBuf in) {
        int bytes = Math.min(header.length - headerBytes, in.readableBytes());
        in.readBytes(header, headerBytes, bytes);
        headerBytes += bytes;
        if (headerBytes < header.length) {
            return false;
        }
        headerBytes = 0;
        int length = header[1] << 24 | (header[2] & 0xff) << 16 | (header[3] & 0xff) << 8 | header[4] & 0xff;
        MessageHeader.check(header[0], length, MessageHeader.CLIENT_TYPES, maxMessageBytes);
        currentType = header[0];
        remainingBytes = length - (MessageHeader.BYTES - 1);
        return true;
    }

    private void messageEnded() {
        ended++;
        if (currentType == 'Q' || currentType == 'S') { // a Sync is owed a ReadyForQuery
            unanswered++;
        } else if (currentType == 'X') {
            terminated = true;
        }
    }

    /** How many messages have ended. */
    long ended() {
        return ended;
    }

    /** How many messages are owed an answer. */
    long unanswered() {
        return unanswered;
    }

    /** One of them is answered. */
    void answered() {
        unanswered--;
    }

    /** Whether the client has ended its connection by a message. */
    boolean isTerminated() {
        return terminated;
    }

    /** Whether a message is incomplete of which more than its header has been read. */
    boolean isInsideMessage() {
        return remainingBytes > 0;
    }

    /** Whether a message is incomplete. */
    boolean hasPartialMessage() {
        return remainingBytes > 0 || headerBytes > 0;
    }

    /** The part of a header that has been read; the caller releases it. */
    ByteBuf partialHeader(ByteBufAllocator allocator) {
        return allocator.buffer(header.length).writeBytes(header, 0, headerBytes);
    }
}
