package reedquay.sessions;

import java.util.function.BooleanSupplier;

/**
 * The end of a session that is to close although its client may still send, as at a drain. It closes in order only once
 * each message that was read has its answer or its refusal, none is read in part, and the socket holds nothing: what is
 * read belongs to messages, also where it is read to notice the client's end. While more is unread, what is not
 * complete is refused instead of kept. A client that sends without end is not read any further, and its connection is
 * reset over what is left in the socket. Times in nanoseconds. Not thread-safe.
 */
public final class PendingClose {
    /** The states; each one follows the one before it. */
    public enum State {
        /** The session goes on. */
        OPEN,
        /** The session closes as soon as its client is owed no answer. */
        PENDING,
        /** The same, and nothing more is read: the client sends without end. */
        ENDLESS
    }

    /** How the connection ends now. */
    public enum Ending {
        /** Not yet. */
        NONE,
        /** In order, if the socket holds nothing when it is read last; what it holds is handled first. */
        IN_ORDER,
        /** By a reset, so that the client can tell that something of what it has sent was not read. */
        BY_RESET
    }

    private static final long NOT_BUSY = Long.MIN_VALUE;

    private final long maxBusy;
    private State state = State.OPEN;
    private long busySince = NOT_BUSY;

    /** maxBusy: for how long a session may have work without a pause before its client's input counts as endless. */
    public PendingClose(long maxBusy) {
        this.maxBusy = maxBusy;
    }

    /** The session is to close. */
    public void begin() {
        state = state == State.OPEN ? State.PENDING : state;
    }

    /** Whether the session is to close. */
    public boolean isPending() {
        return state != State.OPEN;
    }

    /** Whether messages that are not complete yet are refused; mayHoldMore: the socket may hold more than was read. */
    public boolean refusesInput(boolean mayHoldMore) {
        return state != State.OPEN && mayHoldMore;
    }

    /** Whether the socket is read. */
    public boolean readsOn() {
        return state != State.ENDLESS;
    }

    /**
     * The session may have work now, or none any more. A client that waits for an answer does not send without end,
     * however slowly its messages are read.
     */
    public void workChanged(boolean hasWork, boolean awaitsAnswer, long now) {
        if (!hasWork || awaitsAnswer) {
            busySince = NOT_BUSY;
        } else if (busySince == NOT_BUSY) {
            busySince = now;
        }
    }

    /** Judges whether the client sends without end, if the session is to close; returns whether it does since now. */
    public boolean judgeEndless(long now) {
        boolean isEndless = busySince != NOT_BUSY && now - busySince >= maxBusy;
        if (state != State.PENDING || !isEndless) {
            return false;
        }
        state = State.ENDLESS;
        return true;
    }

    /**
     * How the connection ends now. hasError: an error is still to be sent, which ends it by itself; owesAnswer: a
     * message waits, or one is read in part; owesAnswerToMessage: one that waits is of a kind that gets an answer.
     */
    public Ending ending(boolean awaitsAnswer, boolean hasError, boolean owesAnswer,
            BooleanSupplier owesAnswerToMessage) {
        if (state == State.OPEN || awaitsAnswer || hasError) {
            return Ending.NONE;
        }
        if (state == State.ENDLESS) {
            return owesAnswerToMessage.getAsBoolean() ? Ending.NONE : Ending.BY_RESET;
        }
        return owesAnswer ? Ending.NONE : Ending.IN_ORDER;
    }
}
