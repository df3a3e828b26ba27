package reedquay.lab.flood;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import reedquay.pg.Messages;

/** What an abusive client sends after its startup message; sequence numbers keep names and ids new. */
enum MessageKind {
    EMPTY, BLANK, SET, SHOW_COUNTERS, SHOW_NEW_NAMES, WITHOUT_COMMENT, NEW_METHODS, NEW_SESSIONS, NEW_WRITES, OPEN_ID,
    MANY_FIELDS, LARGE_WRITES, PARSE, SYNC, PARSE_AND_SYNC, FLUSH, COPY_DATA, EMPTY_AND_SYNC, MIXED,
    /** These are sent in place of the startup message; the connection ends and is opened again. */
    ENCRYPTION_REQUESTS(true), STARTUP_PARAMETERS(true), CANCEL(true),
    /** These end the connection too. */
    UNKNOWN_TYPE, WRONG_LENGTH, NOISE, TERMINATE,
    /** These are incomplete, and their client stays. */
    HALF_STATEMENT, SLOW_STATEMENT, SLOW_FIELDS, HALF_STARTUP(true), SLOW_STARTUP(true);

    private static final int CHUNK_BYTES = 48 * 1024;
    private static final int MANY_FIELDS_BYTES = 60_000;
    private static final int LARGE_VALUE_BYTES = 60_000;
    private static final int HALF_MESSAGE_LENGTH = 262_144;
    private static final int HALF_SENT_BYTES = 200_000;
    private static final int STARTUP_BYTES = 9_900;
    /** How many bytes a slow client writes at a time. */
    static final int SLOW_BYTES = 100;

    /** Whether the client sends no startup message of the usual form first. */
    final boolean replacesStartup;

    MessageKind() {
        this(false);
    }

    MessageKind(boolean replacesStartup) {
        this.replacesStartup = replacesStartup;
    }

    /** Whether one message is sent in pieces, with pauses. */
    boolean isSlow() {
        return this == SLOW_STATEMENT || this == SLOW_FIELDS || this == SLOW_STARTUP;
    }

    /** Whether one incomplete message is sent, and no more. */
    boolean isHalf() {
        return this == HALF_STATEMENT || this == HALF_STARTUP || isSlow();
    }

    /** Whether the client closes its connection at the first answer and opens another. */
    boolean isAskedOnce() {
        return this == STARTUP_PARAMETERS || this == CANCEL;
    }

    /** The next messages, many where they are short; sequence: unique among all messages of a run. */
    ByteBuf next(long sequence) {
        ByteBuf out = Unpooled.buffer(CHUNK_BYTES + 2 * HALF_MESSAGE_LENGTH / 4);
        if (isHalf()) {
            return half(out);
        }
        for (int i = 0; out.readableBytes() < CHUNK_BYTES && (i == 0 || !endsConnection()); i++) {
            append(out, sequence * CHUNK_BYTES + i);
        }
        return out;
    }

    private boolean endsConnection() {
        return replacesStartup || this == UNKNOWN_TYPE || this == WRONG_LENGTH || this == NOISE || this == TERMINATE;
    }

    private ByteBuf half(ByteBuf out) {
        switch (this) {
            case HALF_STATEMENT, SLOW_STATEMENT -> out.writeByte('Q').writeInt(HALF_MESSAGE_LENGTH)
                    .writeZero(HALF_SENT_BYTES);
            case SLOW_FIELDS -> out.writeByte('Q').writeInt(HALF_MESSAGE_LENGTH)
                    .writeBytes(fields(HALF_SENT_BYTES).getBytes(StandardCharsets.US_ASCII));
            case HALF_STARTUP, SLOW_STARTUP -> startup(out).writerIndex(STARTUP_BYTES - 100);
            default -> throw new IllegalStateException("not a half message: " + this);
        }
        return out;
    }

    private void append(ByteBuf out, long number) {
        switch (this) {
            case EMPTY -> Messages.query(out, "");
            case BLANK -> Messages.query(out, " ; ");
            case SET -> Messages.query(out, "SET a = " + number);
            case SHOW_COUNTERS -> Messages.query(out, "SHOW counters");
            case SHOW_NEW_NAMES -> Messages.query(out, "SHOW " + letters(number));
            case WITHOUT_COMMENT -> Messages.query(out, "SELECT " + number);
            case NEW_METHODS -> Messages.query(out, comment(number, "c" + number, "t" + number) + "SELECT 'x'");
            case NEW_SESSIONS -> Messages.query(out, read(number));
            case NEW_WRITES -> Messages.query(out, write(number, "v"));
            case OPEN_ID -> Messages.query(out, read(number % 4));
            case MANY_FIELDS -> Messages.query(out, fields(MANY_FIELDS_BYTES) + " */ SELECT 'x'");
            case LARGE_WRITES -> Messages.query(out, write(number, "v".repeat(LARGE_VALUE_BYTES)));
            case PARSE -> message(out, 'P', 4);
            case SYNC -> message(out, 'S', 0);
            case PARSE_AND_SYNC -> message(message(out, 'P', 4), 'S', 0);
            case FLUSH -> message(out, 'H', 0);
            case COPY_DATA -> message(out, 'd', 2);
            case EMPTY_AND_SYNC -> message(Messages.query(out, ""), 'S', 0);
            case MIXED -> MIX[(int) (number % MIX.length)].append(out, number);
            case ENCRYPTION_REQUESTS -> {
                while (out.readableBytes() < CHUNK_BYTES) {
                    out.writeInt(8).writeInt(80877103);
                }
            }
            case STARTUP_PARAMETERS -> startup(out);
            case CANCEL -> out.writeInt(16).writeInt(80877102).writeLong(number);
            case UNKNOWN_TYPE -> out.writeByte('~').writeInt(4);
            case WRONG_LENGTH -> out.writeByte('Q').writeInt(number % 2 == 0 ? -1 : Integer.MAX_VALUE);
            case NOISE -> out.writeLong(number * 0x9E3779B97F4A7C15L).writeLong(~number);
            case TERMINATE -> Messages.terminate(out);
            default -> throw new IllegalStateException("no whole message: " + this);
        }
    }

    private static final MessageKind[] MIX = {EMPTY, SET, WITHOUT_COMMENT, NEW_METHODS, PARSE_AND_SYNC, NEW_SESSIONS,
        BLANK, SHOW_NEW_NAMES, FLUSH, NEW_WRITES};

    private static ByteBuf message(ByteBuf out, char type, int bodyBytes) {
        return out.writeByte(type).writeInt(4 + bodyBytes).writeZero(bodyBytes);
    }

    private static ByteBuf startup(ByteBuf out) {
        out.writeInt(STARTUP_BYTES).writeInt(196608);
        for (int i = 0; out.readableBytes() < STARTUP_BYTES - 12; i++) {
            out.writeCharSequence("p" + i % 10 + "\0v\0", StandardCharsets.US_ASCII);
        }
        return out.writeZero(STARTUP_BYTES - out.readableBytes());
    }

    private static String fields(int bytes) {
        StringBuilder text = new StringBuilder("/* id=1,c=history,d=1000,cluster=1");
        for (int i = 0; text.length() < bytes; i++) {
            text.append(",f").append(i).append("=1");
        }
        return text.toString();
    }

    private static String letters(long number) {
        StringBuilder text = new StringBuilder();
        for (long rest = number; text.length() < 12; rest /= 26) {
            text.append((char) ('a' + rest % 26));
        }
        return text.toString();
    }

    private static String comment(long number, String method, String tenant) {
        return "/* id=" + Long.toHexString(number | 1L << 62) + ",c=" + method + ",t=" + tenant + ",d=1200,k=k" + number
                + ",cluster=1 */ ";
    }

    private static String read(long number) {
        return comment(number, "history", "t" + number) + "SELECT data FROM facts WHERE code = 's" + number + "'";
    }

    private static String write(long number, String value) {
        return comment(number, "order", "t" + number) + "INSERT INTO facts (code, data) VALUES ('s" + number + "', '"
                + value + "') RETURNING data";
    }
}
