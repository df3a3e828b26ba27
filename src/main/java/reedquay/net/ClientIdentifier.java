package reedquay.net;

/** How clients are told apart: what a session or its statement says of who calls. */
public record ClientIdentifier(Kind kind, String parameter) {
    public enum Kind {
        /** The quoted key that names a statement's session. */
        KEY,
        /** The connection. */
        CONNECTION,
        /** The address that the connection comes from, without its port. */
        ADDRESS,
        /** A parameter of the startup message. */
        PARAMETER,
        /** Nothing but the tenant. */
        TENANT
    }

    /** Null where nothing is known but the tenant. */
    String identify(ClientSession session, Statement statement) {
        return switch (kind) {
            case KEY -> statement.session;
            case CONNECTION -> session.connectionId();
            case ADDRESS -> session.clientAddress();
            case PARAMETER -> session.startupParameter(parameter);
            case TENANT -> null;
        };
    }
}
