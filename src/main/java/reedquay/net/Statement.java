package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import reedquay.core.Method;
import reedquay.pg.Frame;
import reedquay.pg.Messages;

/** The bytes of a client's statement and the fields that its leading comment holds. */
final class Statement {
    /** A statement that cannot be routed; the message is for the client. */
    static final class InvalidStatementException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidStatementException(String message) {
            super(message, null, false, false);
        }
    }

    private static final int MOST_DIGITS = 9; // of the time to wait: eleven days
    private static final int MOST_HEAD = 1024;
    private static final Pattern TOKEN = Pattern.compile("[0-9A-Za-z_-]{1,64}");
    private static final List<String> WRITES = List.of("INSERT", "UPDATE", "DELETE");

    final Frame frame;
    final long id;
    final String method;
    final String tenant;
    final String session;
    final int group;
    final long waitMillis;
    final boolean retry;
    /** The position that a read must see, in Unix milliseconds; 0 where there is none. */
    final long minPositionMillis;
    private final String token;
    private final int sql; // where the comment has ended
    private final int digitsFrom;
    private final int digitsTo;

    /** Borrows the frame: whoever made the statement releases it. */
    Statement(Frame frame) throws InvalidStatementException {
        this.frame = frame;
        ByteBuf all = frame.content();
        int head = Math.min(frame.bodyLength(), MOST_HEAD);
        String text = all.toString(frame.bodyStart(), head, StandardCharsets.ISO_8859_1);
        int end = text.startsWith("/*") ? text.indexOf("*/") : -1;
        if (end < 0) {
            throw new InvalidStatementException("expected a leading comment with id, c, d and cluster");
        }
        Map<String, String> fields = new HashMap<>();
        int from = 0;
        int to = 0;
        int at = 2;
        while (at < end) {
            int comma = text.indexOf(',', at);
            int stop = comma < 0 || comma > end ? end : comma;
            int eq = text.indexOf('=', at);
            if (eq <= at || eq >= stop) {
                throw new InvalidStatementException("expected names and values in the comment");
            }
            String name = text.substring(at, eq).strip();
            String value = text.substring(eq + 1, stop).strip();
            if (!value.chars().allMatch(c -> c > ' ' && c <= '~')) {
                throw new InvalidStatementException("expected plain values in the comment");
            }
            if (fields.put(name, value) != null) {
                throw new InvalidStatementException("the comment names a field twice");
            }
            if (name.equals("d")) {
                from = text.indexOf(value, eq + 1);
                to = from + value.length();
            }
            at = stop + 1;
        }
        digitsFrom = from;
        digitsTo = to;
        id = hex(fields.get("id"));
        method = needed(fields, "c");
        tenant = fields.get("t");
        waitMillis = number(needed(fields, "d"), "d");
        if (waitMillis == 0) {
            throw new InvalidStatementException("expected a time to wait above 0 in d");
        }
        group = (int) number(needed(fields, "cluster"), "cluster");
        retry = "1".equals(fields.getOrDefault("r", "0"));
        if (!retry && !fields.getOrDefault("r", "0").equals("0")) {
            throw new InvalidStatementException("expected 0 or 1 in r");
        }
        String sees = fields.get("after");
        minPositionMillis = sees == null ? 0 : position(sees);
        token = fields.get("k");
        if (token != null && !TOKEN.matcher(token).matches()) {
            throw new InvalidStatementException("expected a short plain token in k");
        }
        sql = end + 2;
        session = single();
    }

    /**
     * What a member would close its connection on, whatever waits there, is found here: bytes that are no text, more
     * or less than one statement, a quote that does not end, no key. Returns the key, the first text in quotes.
     */
    private String single() throws InvalidStatementException {
        ByteBuf all = frame.content();
        int from = frame.bodyStart() + sql;
        int end = all.writerIndex() - 1;
        if (end < from || all.getByte(end) != 0) {
            throw new InvalidStatementException("expected a statement that ends with a zero byte");
        }
        Scan scan = new Scan();
        boolean fit = all.forEachByte(from, end - from, scan) < 0;
        boolean is = fit ? scan.ascii || ByteBufUtil.isText(all, from, end - from, StandardCharsets.UTF_8) : scan.ended;
        if (!is) {
            throw new InvalidStatementException("expected text");
        } else if (!fit) {
            throw new InvalidStatementException("expected a single statement");
        } else if (scan.quoted || scan.close < 0) {
            throw new InvalidStatementException("expected a key in quotes");
        }
        return all.toString(from + scan.open, scan.close - scan.open, StandardCharsets.UTF_8);
    }

    /** One pass over a statement's bytes; stops where a byte is no text, or comes behind the statement's end. */
    private static final class Scan implements ByteProcessor {
        boolean quoted, ended, ascii = true;
        int open = -1; // where the first text in quotes begins
        int close = -1;
        private int at = -1;

        @Override public boolean process(byte b) {
            at++;
            ascii &= b >= 0;
            if (b >= 0 && b < ' ' && b != '\t' && b != '\n' && b != '\r') {
                ended = false;
                return false;
            }
            if (ended && b > ' ') {
                return false;
            }
            if (b == '\'') {
                quoted = !quoted;
                open = open < 0 ? at + 1 : open;
                close = !quoted && close < 0 ? at : close;
            }
            ended |= !quoted && b == ';';
            return true;
        }
    }

    /** Whether it is what calls of this method are. */
    void validateFor(Method called) throws InvalidStatementException {
        ByteBuf all = frame.content();
        int from = frame.bodyStart() + sql;
        while (all.getByte(from) <= ' ' && all.getByte(from) > 0) {
            from++;
        }
        int length = Math.min(6, all.writerIndex() - from);
        String verb = all.toString(from, length, StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        if (called.consistency() == Method.Consistency.WRITE ? !WRITES.contains(verb) : !verb.equals("SELECT")) {
            throw new InvalidStatementException("the statement is not of its class");
        }
        if (called.retrySafety() == Method.RetrySafety.TOKENED && token == null) {
            throw new InvalidStatementException("expected k in the leading comment");
        }
    }

    private static String needed(Map<String, String> fields, String name) throws InvalidStatementException {
        String value = fields.get(name);
        if (value == null || value.isEmpty()) {
            throw new InvalidStatementException("expected " + name + " in the leading comment");
        }
        return value;
    }

    private static long hex(String text) throws InvalidStatementException {
        if (text == null || text.isEmpty() || text.length() > 16
                || !text.chars().allMatch(HexFormat::isHexDigit)) {
            throw new InvalidStatementException("expected up to 16 hex digits in id");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static long number(String text, String name) throws InvalidStatementException {
        if (text.isEmpty() || text.length() > MOST_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new InvalidStatementException("expected a number of at most " + MOST_DIGITS + " digits in " + name);
        }
        return Long.parseLong(text);
    }

    private static long position(String text) throws InvalidStatementException {
        if (text.isEmpty() || text.length() > 15 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new InvalidStatementException("expected a position in Unix milliseconds in after");
        }
        return Long.parseLong(text);
    }

    /** The statement as it goes to a member: the bytes that came, but for how long this side will wait. */
    ByteBuf queryForMember(ByteBufAllocator allocator, long millis) {
        return Messages.query(allocator, frame, digitsFrom, digitsTo, millis);
    }
}
