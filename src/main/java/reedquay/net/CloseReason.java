package reedquay.net;

/** Why a client's connection ended. The names stand in lower case in the counters client.closed.REASON. */
enum CloseReason {
    /** To free a descriptor. */
    ROOM,
    /** Between RPCs, while the gateway drains before its stop. */
    DRAIN,
    /** At the end of a shutdown. */
    SHUTDOWN,
    /** The client sent a Terminate message. */
    TERMINATE,
    /** The connection carried a cancel request, which gets no answer. */
    CANCEL,
    /** The client sent no startup message in time. */
    SILENT,
    /** The output could not be written in time after the end of the session. */
    LINGER,
    /** Malformed input, or an incomplete message. */
    MALFORMED,
    /** A failure inside the session. */
    FAILED,
    /** A read or write on the connection failed. */
    BROKEN,
    /** The client closed the connection. */
    CLIENT;

    /** The counter of closes for this reason. */
    String counter() {
        return "client.closed." + name().toLowerCase(java.util.Locale.ROOT);
    }
}
