package reedquay.sim;

import java.util.HashMap;
import java.util.Map;
import reedquay.core.Decimal;

/** The values of one line, taken in order; every complaint names the line and what was expected. */
final class Fields {
    private final String line;
    private final String[] parts;
    private int next;

    Fields(String line) {
        this.line = line;
        this.parts = line.split(" ", -1);
    }

    String name() {
        return word("a message name");
    }

    /** All that is left of the line, as pairs path=value. */
    Map<String, String> pairs() {
        Map<String, String> values = new HashMap<>();
        while (next < parts.length) {
            String pair = optional("a pair path=value");
            int eq = pair == null ? -1 : pair.indexOf('=');
            if (eq < 0) {
                throw bad("a pair path=value");
            }
            values.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        return values;
    }

    /** Null where the value is absent. */
    String optional(String expected) {
        if (next >= parts.length) {
            throw bad(expected);
        }
        String part = parts[next++];
        if (part.isEmpty()) {
            throw bad(expected);
        }
        return part.equals("-") ? null : part;
    }

    String word(String expected) {
        String part = optional(expected);
        if (part == null) {
            throw bad(expected);
        }
        return part;
    }

    long integer(String expected) {
        try {
            return Long.parseLong(word(expected));
        } catch (NumberFormatException e) {
            throw bad(expected);
        }
    }

    long integerOr(long absent, String expected) {
        String part = optional(expected);
        try {
            return part == null ? absent : Long.parseLong(part);
        } catch (NumberFormatException e) {
            throw bad(expected);
        }
    }

    double numberOr(double absent, String expected) {
        String part = optional(expected);
        try {
            return part == null ? absent : Double.parseDouble(part);
        } catch (NumberFormatException e) {
            throw bad(expected);
        }
    }

    long millis(String expected) {
        return scaled(word(expected), 6, expected);
    }

    long millisOr(long absent, String expected) {
        String part = optional(expected);
        return part == null ? absent : scaled(part, 6, expected);
    }

    boolean bool(String expected) {
        String part = word(expected);
        if (!part.equals("1") && !part.equals("0")) {
            throw bad(expected);
        }
        return part.equals("1");
    }

    long scaled(String part, int digits, String expected) {
        try {
            return Decimal.parseScaled(part, digits);
        } catch (NumberFormatException | ArithmeticException e) {
            throw bad(expected);
        }
    }

    /** Whole nanoseconds as milliseconds with their exact fraction. */
    static void appendMillis(StringBuilder out, long nanos) {
        if (nanos < 0) {
            out.append('-');
            nanos = -nanos;
        }
        out.append(nanos / 1_000_000);
        long rest = nanos % 1_000_000;
        if (rest != 0) {
            String digits = Long.toString(1_000_000 + rest).substring(1);
            int end = digits.length();
            while (digits.charAt(end - 1) == '0') {
                end--;
            }
            out.append('.').append(digits, 0, end);
        }
    }

    Malformed bad(String expected) {
        String shown = line.length() > 200 ? line.substring(0, 200) + "..." : line;
        return new Malformed("expected " + expected + " at part " + next + " of line: " + shown);
    }

    /** A line that the wire's page does not allow. */
    static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1;

        Malformed(String message) {
            super(message);
        }
    }
}
