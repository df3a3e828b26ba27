package reedquay.net;

import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import reedquay.memory.StatementMemory;
import reedquay.pg.Frame;

/**
 * The messages of one client that are complete and not handled yet, in order. A message that has to wait takes memory
 * by account; where there is none its content is dropped, so that the client can be told when its turn comes. Of
 * messages that are no query only the type is ever used, so their content never waits.
 */
final class MessageQueue {
    private static final int MESSAGE_OVERHEAD_BYTES = 128; // memory that a message uses beyond its bytes

    private final StatementMemory memory;
    private final ArrayDeque<Frame> messages = new ArrayDeque<>();
    private Frame newest; // not accounted for yet, since it may be handled at once; null for none
    private int accountedBytes;

    MessageQueue(StatementMemory memory) {
        this.memory = memory;
    }

    /** The bytes of memory that a message counts as. */
    static int memoryCost(Frame message) {
        return message.content().readableBytes() + MESSAGE_OVERHEAD_BYTES;
    }

    /** Whether the message was a query whose content was dropped for want of memory. */
    static boolean isDropped(Frame message) {
        return message.type == 'Q' && message.content().readableBytes() == 0;
    }

    /** Adds a message, which the queue owns from now on. */
    void add(Frame message) {
        messages.addLast(message);
        newest = message;
    }

    /** Accounts for the message added last, if it has not been handled at once; its content may be dropped for that. */
    void accountNewest() {
        if (newest == null) {
            return;
        }
        Frame waiting = newest;
        newest = null;
        boolean contentIsNeeded = waiting.type == 'Q' || waiting.type == Frame.UNTYPED;
        if (contentIsNeeded && memory.tryQueue(memoryCost(waiting))) {
            accountedBytes += memoryCost(waiting);
            return;
        }
        messages.removeLast();
        waiting.release();
        Frame dropped = new Frame(waiting.type, Unpooled.EMPTY_BUFFER);
        messages.addLast(dropped);
        memory.queue(memoryCost(dropped));
        accountedBytes += memoryCost(dropped);
    }

    /** Removes the first message, which the caller owns from now on; null where there is none. */
    Frame poll() {
        Frame first = messages.pollFirst();
        if (first == newest) {
            newest = null;
        } else if (first != null) {
            memory.releaseQueued(memoryCost(first));
            accountedBytes -= memoryCost(first);
        }
        return first;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** The bytes that the waiting messages take. */
    int bytes() {
        return accountedBytes;
    }

    /** Releases all messages. */
    void clear() {
        for (Frame message = poll(); message != null; message = poll()) {
            message.release();
        }
    }
}
