package reedquay.lab.flood;

/**
 * One run: clients that send a number of commands at once and leave after a time, in one way or another. sendsAgain: a
 * second connection sends the first commands again, with the same ids, right after that.
 */
record DeparturePlan(Command command, int commands, int leaveAfterMillis, Departure departure, boolean readsAnswers,
        boolean sendsAgain) {
    /** What the client asks: reads, or writes that must not run twice. */
    enum Command { READ, WRITE }

    /** How a client leaves: it closes its connection, resets it, or ends its sending and stays. */
    enum Departure { CLOSE, RESET, HALF_CLOSE }

    @Override public String toString() {
        return commands + " x " + command + ", " + departure + " after " + leaveAfterMillis + " ms"
                + (readsAnswers ? "" : ", answers unread") + (sendsAgain ? ", sent again" : "");
    }
}
