package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.regex.Pattern;
import reedquay.core.Method;
import reedquay.pg.Frame;
import reedquay.pg.Messages;

/** A client's statement: its bytes, and the fields parsed from its leading comment. */
final class Statement {
    /** A statement that cannot be routed; the message is sent to the client. */
    static final class InvalidStatementException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidStatementException(String message) {
            super(message, null, false, false);
        }
    }

    private static final int MAX_NUMBER_DIGITS = 9; // as milliseconds to wait: eleven days
    static final int MAX_COMMENT_BYTES = 1024;
    private static final int OVERHEAD_BYTES = 384; // objects that a statement takes beyond its bytes and texts
    private static final Pattern TOKEN = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    private static final List<String> WRITE_VERBS = List.of("INSERT", "UPDATE", "DELETE");

    private Frame frame;
    final long id;
    final String method;
    final String tenant;
    private String session;
    final int group;
    final long waitMillis;
    final boolean retry;
    /** The position that a read must have seen, in Unix milliseconds; 0 for none. */
    final long minPositionMillis;
    private final String token;
    private final int sqlOffset; // the end of the comment, in the body
    private final int waitDigitsStart;
    private final int waitDigitsEnd;

    /**
     * Parses the leading comment of the frame, which the caller still owns. Throws InvalidStatementException for the
     * first error.
     */
    Statement(Frame frame) throws InvalidStatementException {
        this.frame = frame;
        ByteBuf content = frame.content();
        int prefixLength = Math.min(frame.bodyLength(), MAX_COMMENT_BYTES);
        String text = content.toString(frame.bodyStart(), prefixLength, StandardCharsets.ISO_8859_1);
        int end = text.startsWith("/*") ? text.indexOf("*/") : -1;
        if (end < 0) {
            throw new InvalidStatementException("expected a leading comment with id, c, d and cluster");
        }
        Map<String, String> fields = new HashMap<>();
        int digitsStart = 0;
        int digitsEnd = 0;
        int fieldStart = 2;
        while (fieldStart < end) {
            int comma = text.indexOf(',', fieldStart);
            int fieldEnd = comma < 0 || comma > end ? end : comma;
            int equalsSign = text.indexOf('=', fieldStart);
            if (equalsSign <= fieldStart || equalsSign >= fieldEnd) {
                throw new InvalidStatementException("expected names and values in the comment");
            }
            String name = text.substring(fieldStart, equalsSign).strip();
            String value = text.substring(equalsSign + 1, fieldEnd).strip();
            if (!value.chars().allMatch(c -> c > ' ' && c <= '~')) {
                throw new InvalidStatementException("expected plain values in the comment");
            }
            if (fields.put(name, value) != null) {
                throw new InvalidStatementException("the comment names a field twice");
            }
            if (name.equals("d")) {
                digitsStart = text.indexOf(value, equalsSign + 1);
                digitsEnd = digitsStart + value.length();
            }
            fieldStart = fieldEnd + 1;
        }
        waitDigitsStart = digitsStart;
        waitDigitsEnd = digitsEnd;
        id = parseId(fields.get("id"));
        method = requiredField(fields, "c");
        tenant = fields.get("t");
        waitMillis = parseNumber(requiredField(fields, "d"), "d");
        if (waitMillis == 0) {
            throw new InvalidStatementException("expected a time to wait above 0 in d");
        }
        group = (int) parseNumber(requiredField(fields, "cluster"), "cluster");
        retry = "1".equals(fields.getOrDefault("r", "0"));
        if (!retry && !fields.getOrDefault("r", "0").equals("0")) {
            throw new InvalidStatementException("expected 0 or 1 in r");
        }
        String minPosition = fields.get("after");
        minPositionMillis = minPosition == null ? 0 : parsePosition(minPosition);
        token = fields.get("k");
        if (token != null && !TOKEN.matcher(token).matches()) {
            throw new InvalidStatementException("expected a short plain token in k");
        }
        sqlOffset = end + 2;
        if (frame.bodyLength() <= sqlOffset || content.getByte(content.writerIndex() - 1) != 0) {
            throw new InvalidStatementException("expected a statement that ends with a zero byte");
        }
    }

    /**
     * Checks that the body is one statement, and names its session by its key, the first text in quotes. Rejects what
     * would make a member close the connection, and with it all that is pending there: bytes that are not text, more
     * or less than one statement, an unterminated quote, no key. It reads the whole statement, so it comes last.
     */
    void parseSql() throws InvalidStatementException {
        ByteBuf content = frame.content();
        SqlScanner scanner = new SqlScanner();
        switch (scanner.scan(content, frame.bodyStart() + sqlOffset, content.writerIndex() - 1)) {
            case NO_TEXT -> throw new InvalidStatementException("expected text");
            case SEVERAL_STATEMENTS -> throw new InvalidStatementException("expected a single statement");
            case NO_KEY -> throw new InvalidStatementException("expected a key in quotes");
            case VALID -> session = ClientName.of(content, scanner.keyStart(), scanner.keyEnd());
        }
    }

    /** The statement's session; null before parseSql(). */
    String session() {
        return session;
    }

    /** Keeps a copy of the statement's bytes in a buffer of their size, which has to be released. */
    void keepCopy() {
        frame = (Frame) frame.copy();
    }

    /** Passes on the id as it was found while the statement waited. */
    void scanId(LongConsumer ids) {
        RequestIdScanner.scan(frame, ids);
    }

    /** Releases the copy that keepCopy has made. */
    void release() {
        frame.release();
    }

    /** The bytes of memory that the statement takes: its message, and what is kept of it on the heap. */
    int memoryCost() {
        return frame.content().readableBytes() + OVERHEAD_BYTES
                + Character.BYTES * (length(method) + length(tenant) + ClientName.MAX_BYTES + length(token));
    }

    private static int length(String text) {
        return text == null ? 0 : text.length();
    }

    /** Throws InvalidStatementException where the statement does not have the form that RPCs of this method have. */
    void validateFor(Method rpcMethod) throws InvalidStatementException {
        ByteBuf content = frame.content();
        int start = frame.bodyStart() + sqlOffset;
        while (content.getByte(start) <= ' ' && content.getByte(start) > 0) {
            start++;
        }
        int length = Math.min(6, content.writerIndex() - start);
        String verb = content.toString(start, length, StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        if (rpcMethod.consistency() == Method.Consistency.WRITE ? !WRITE_VERBS.contains(verb)
                : !verb.equals("SELECT")) {
            throw new InvalidStatementException("the statement is not of its class");
        }
        if (rpcMethod.retrySafety() == Method.RetrySafety.TOKENED && token == null) {
            throw new InvalidStatementException("expected k in the leading comment");
        }
    }

    private static String requiredField(Map<String, String> fields, String name) throws InvalidStatementException {
        String value = fields.get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidStatementException("expected " + name + " in the leading comment");
        }
        return value;
    }

    private static long parseId(String text) throws InvalidStatementException {
        if (text == null || text.isEmpty() || text.length() > 16
                || !text.chars().allMatch(HexFormat::isHexDigit)) {
            throw new InvalidStatementException("expected up to 16 hex digits in id");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static long parseNumber(String text, String name) throws InvalidStatementException {
        if (text.isEmpty() || text.length() > MAX_NUMBER_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new InvalidStatementException("expected a number of at most " + MAX_NUMBER_DIGITS + " digits in "
                    + name);
        }
        return Long.parseLong(text);
    }

    private static long parsePosition(String text) throws InvalidStatementException {
        if (text.isEmpty() || text.length() > 15 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new InvalidStatementException("expected a position in Unix milliseconds in after");
        }
        return Long.parseLong(text);
    }

    /** The Query for a member: the client's bytes, with millis in d as the time that this gateway will wait. */
    ByteBuf queryForMember(ByteBufAllocator allocator, long millis) {
        return Messages.query(allocator, frame, waitDigitsStart, waitDigitsEnd, millis);
    }
}
