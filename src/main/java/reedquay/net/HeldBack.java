package reedquay.net;

/** Why a client has to wait, or its messages are refused. The names stand in counters client.heldback.REASON. */
enum HeldBack {
    /** It has sent more than its share of the event loop's time can handle now. */
    TIME("sends more than its share of the event loop's time"),
    /** Its pipelined messages would take more than their share of the memory. */
    MEMORY("has more messages waiting than memory is free for"),
    /** It sends without end, so that its statement cannot start: its departure could not be noticed. */
    INPUT("sends without a pause, so that its end cannot be found"),
    /** It does not read its answers. */
    UNREAD("does not read its answers"),
    /** A message of it is incomplete. */
    INCOMPLETE("has sent a part of a message");

    /** What the client does, for log lines. */
    final String description;

    HeldBack(String description) {
        this.description = description;
    }

    /** The counter of clients that were held back for this reason. */
    String counter() {
        return "client.heldback." + name().toLowerCase(java.util.Locale.ROOT);
    }
}
