package reedquay.lab.soak;

/** One request of a client, from its last byte to its answer. Times are those of System.nanoTime(). */
final class SoakRequest {
    /** How a request ended, from its client's view. */
    enum End {
        /** No end yet. */
        NONE,
        ANSWERED,
        /** The connection ended without a whole answer. */
        CLOSED,
        /** The client closed the connection. */
        LEFT,
        /** It was never sent, since no gateway accepted the connection. */
        UNSENT
    }

    final String id;
    final String method;
    final int deadlineMillis;
    long sentAt;
    /** When its connection's previous request was answered: answers come in order, and that wait does not count. */
    long previousAnsweredAt;
    long endedAt;
    End end = End.NONE;
    /** The SQLSTATE of an error; empty for a value. */
    String sqlState = "";
    String value;
    boolean resent;
    boolean partlyAnswered;

    SoakRequest(String id, String method, int deadlineMillis) {
        this.id = id;
        this.method = method;
        this.deadlineMillis = deadlineMillis;
    }

    boolean isWrite() {
        return method.equals("order");
    }

    boolean isPushback() {
        return sqlState.equals("53300") || sqlState.equals("57P03");
    }

    /** The statement as the client sends it. */
    String statement() {
        return "/* id=" + id + ",c=" + method + ",t=acme,d=" + deadlineMillis + (isWrite() ? ",k=" + id : "")
                + ",cluster=1 */ " + (isWrite()
                ? "INSERT INTO facts (code, data) VALUES ('c', 'v" + id + "') RETURNING data"
                : "SELECT data FROM facts WHERE code = 'c'");
    }
}
