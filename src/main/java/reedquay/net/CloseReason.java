package reedquay.net;

/** Why a client's connection ended. The names stand in lower case in the counters client.closed.REASON. */
enum CloseReason {
    /** To free a descriptor. */
    ROOM(true),
    /** Between RPCs, while the gateway drains before its stop. */
    DRAIN(true),
    /** At the end of a shutdown. */
    SHUTDOWN(true),
    /** The client sent a Terminate message. */
    TERMINATE(false),
    /** The connection carried a cancel request, which gets no answer. */
    CANCEL(false),
    /** The client sent no startup message in time. */
    SILENT(false),
    /** The output could not be written in time after the end of the session. */
    LINGER(false),
    /** Malformed input, or an incomplete message. */
    MALFORMED(false),
    /** Unread answers, while memory is short. */
    UNREAD(false),
    /** A failure inside the session. */
    FAILED(true),
    /** A read or write on the connection failed. */
    BROKEN(false),
    /** The client closed the connection. */
    CLIENT(false);

    /** Whether the gateway closes by its own will, so that the client must be owed no answer. */
    final boolean requiresAllAnswered;

    CloseReason(boolean requiresAllAnswered) {
        this.requiresAllAnswered = requiresAllAnswered;
    }

    /** The counter of closes for this reason. */
    String counter() {
        return "client.closed." + name().toLowerCase(java.util.Locale.ROOT);
    }
}
