package reedquay.sim;

import java.util.HashMap;
import java.util.Map;
import reedquay.core.Decimal;

/**
 * Reads the fields of one line, separated by blanks, in order. Each method reads the next field; expected describes it
 * for the message of the MalformedLineException that is thrown if the field is missing or malformed, which also quotes
 * the line. "-" stands for an absent value.
 */
final class LineReader {
    private final String line;
    private final String[] fields;
    private int next; // index of the next field

    LineReader(String line) {
        this.line = line;
        this.fields = line.split(" ", -1);
    }

    String messageName() {
        return word("a message name");
    }

    /** The remaining fields, which are pairs path=value; values by path. */
    Map<String, String> remainingPairs() {
        Map<String, String> values = new HashMap<>();
        while (next < fields.length) {
            String pair = optional("a pair path=value");
            int equalsSign = pair == null ? -1 : pair.indexOf('=');
            if (equalsSign < 0) {
                throw malformed("a pair path=value");
            }
            values.put(pair.substring(0, equalsSign), pair.substring(equalsSign + 1));
        }
        return values;
    }

    /** The next field; null if its value is absent. */
    String optional(String expected) {
        if (next >= fields.length) {
            throw malformed(expected);
        }
        String field = fields[next++];
        if (field.isEmpty()) {
            throw malformed(expected);
        }
        return field.equals("-") ? null : field;
    }

    /** The next field, which must have a value. */
    String word(String expected) {
        String field = optional(expected);
        if (field == null) {
            throw malformed(expected);
        }
        return field;
    }

    long integer(String expected) {
        try {
            return Long.parseLong(word(expected));
        } catch (NumberFormatException e) {
            throw malformed(expected);
        }
    }

    long integerOr(long defaultValue, String expected) {
        String field = optional(expected);
        try {
            return field == null ? defaultValue : Long.parseLong(field);
        } catch (NumberFormatException e) {
            throw malformed(expected);
        }
    }

    double numberOr(double defaultValue, String expected) {
        String field = optional(expected);
        try {
            return field == null ? defaultValue : Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw malformed(expected);
        }
    }

    /** Reads milliseconds; returns nanoseconds. */
    long millis(String expected) {
        return scaled(word(expected), 6, expected);
    }

    /** Reads milliseconds; returns nanoseconds, or the default, in nanoseconds, for an absent value. */
    long millisOr(long defaultValue, String expected) {
        String field = optional(expected);
        return field == null ? defaultValue : scaled(field, 6, expected);
    }

    /** Reads 1 for true or 0 for false. */
    boolean bool(String expected) {
        String field = word(expected);
        if (!field.equals("1") && !field.equals("0")) {
            throw malformed(expected);
        }
        return field.equals("1");
    }

    /** Parses a decimal number; returns it times ten to the power of digits. */
    long scaled(String field, int digits, String expected) {
        try {
            return Decimal.parseScaled(field, digits);
        } catch (NumberFormatException | ArithmeticException e) {
            throw malformed(expected);
        }
    }

    /** Appends nanoseconds as milliseconds with their exact decimal fraction. */
    static void appendMillis(StringBuilder out, long nanos) {
        if (nanos < 0) {
            out.append('-');
            nanos = -nanos;
        }
        out.append(nanos / 1_000_000);
        long fraction = nanos % 1_000_000;
        if (fraction != 0) {
            String digits = Long.toString(1_000_000 + fraction).substring(1);
            int end = digits.length();
            while (digits.charAt(end - 1) == '0') {
                end--;
            }
            out.append('.').append(digits, 0, end);
        }
    }

    /** The exception to throw for the field read last. */
    MalformedLineException malformed(String expected) {
        String excerpt = line.length() > 200 ? line.substring(0, 200) + "..." : line;
        return new MalformedLineException("expected " + expected + " in field " + next + " of line: " + excerpt);
    }

    /** Thrown for a line that the protocol does not allow. */
    static final class MalformedLineException extends RuntimeException {
        private static final long serialVersionUID = 1;

        MalformedLineException(String message) {
            super(message);
        }
    }
}
