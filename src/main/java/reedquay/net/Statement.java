package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import reedquay.pg.Frame;
import reedquay.pg.Messages;

/** The bytes of a client's statement and the fields that its leading comment holds. */
final class Statement {
    /** A statement that cannot be routed; the message is for the client. */
    static final class Unfit extends Exception {
        private static final long serialVersionUID = 1;

        Unfit(String message) {
            super(message, null, false, false);
        }
    }

    private static final int MOST_DIGITS = 9; // of the time to wait: eleven days
    private static final int MOST_HEAD = 1024;

    final Frame frame;
    final long id;
    final String method;
    final String tenant;
    final String session;
    final int group;
    final long waitMillis;
    final boolean retry;
    /** The position that a read must see, in Unix milliseconds; 0 where there is none. */
    final long after;
    private final int digitsFrom;
    private final int digitsTo;

    /** Borrows the frame: whoever made the statement releases it. */
    Statement(Frame frame) throws Unfit {
        this.frame = frame;
        ByteBuf all = frame.content();
        int head = Math.min(frame.bodyLength(), MOST_HEAD);
        String text = all.toString(frame.body(), head, StandardCharsets.ISO_8859_1);
        int end = text.startsWith("/*") ? text.indexOf("*/") : -1;
        if (end < 0) {
            throw new Unfit("expected a leading comment with id, c, d and cluster");
        }
        Map<String, String> fields = new HashMap<>();
        int from = 0;
        int to = 0;
        int at = 2;
        while (at < end) {
            int comma = text.indexOf(',', at);
            int stop = comma < 0 || comma > end ? end : comma;
            int eq = text.indexOf('=', at);
            if (eq > at && eq < stop) {
                String name = text.substring(at, eq).strip();
                String value = text.substring(eq + 1, stop).strip();
                if (fields.put(name, value) != null) {
                    throw new Unfit("the comment names " + name + " twice");
                }
                if (name.equals("d")) {
                    from = text.indexOf(value, eq + 1);
                    to = from + value.length();
                }
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
            throw new Unfit("expected a time to wait above 0 in d");
        }
        group = (int) number(needed(fields, "cluster"), "cluster");
        retry = "1".equals(fields.get("r"));
        String sees = fields.get("after");
        after = sees == null ? 0 : position(sees);
        session = quoted(frame, text, end);
    }

    private static String needed(Map<String, String> fields, String name) throws Unfit {
        String value = fields.get(name);
        if (value == null || value.isEmpty()) {
            throw new Unfit("expected " + name + " in the leading comment");
        }
        return value;
    }

    private static long hex(String text) throws Unfit {
        if (text == null || text.isEmpty() || text.length() > 16
                || !text.chars().allMatch(HexFormat::isHexDigit)) {
            throw new Unfit("expected up to 16 hex digits in id");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static long number(String text, String name) throws Unfit {
        if (text.isEmpty() || text.length() > MOST_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new Unfit("expected a number of at most " + MOST_DIGITS + " digits in " + name);
        }
        return Long.parseLong(text);
    }

    private static long position(String text) throws Unfit {
        if (text.isEmpty() || text.length() > 15 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new Unfit("expected a position in Unix milliseconds in after");
        }
        return Long.parseLong(text);
    }

    /** The first quoted text behind the comment. */
    private static String quoted(Frame frame, String text, int end) {
        int open = text.indexOf('\'', end);
        int close = open < 0 ? -1 : text.indexOf('\'', open + 1);
        return close < 0 ? null : text.substring(open + 1, close);
    }

    /** The statement as it goes to a member: the bytes that came, but for how long this side will wait. */
    ByteBuf toMember(ByteBufAllocator allocator, long millis) {
        return Messages.query(allocator, frame, digitsFrom, digitsTo, millis);
    }
}
