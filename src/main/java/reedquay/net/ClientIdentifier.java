package reedquay.net;

/**
 * Identifies the client of an RPC from its connection or its statement. parameter: the name of the startup parameter;
 * empty for all other kinds.
 */
public record ClientIdentifier(Kind kind, String parameter) {
    /** What identifies a client; the constants in lower case are values of the setting fair.client. */
    public enum Kind {
        /** The first quoted value of the statement, which names its session. */
        KEY,
        /** The connection. */
        CONNECTION,
        /** The client's IP address, without the port. */
        ADDRESS,
        /** A parameter of the connection's startup message. */
        PARAMETER,
        /** The tenant alone. */
        TENANT
    }

    /** The client's id, unique within its kind; null where only the tenant is known. */
    String identify(ClientSession session, Statement statement) {
        return switch (kind) {
            case KEY -> statement.session();
            case CONNECTION -> session.connectionId();
            case ADDRESS -> session.clientAddress();
            case PARAMETER -> session.identifyingParameter();
            case TENANT -> null;
        };
    }
}
