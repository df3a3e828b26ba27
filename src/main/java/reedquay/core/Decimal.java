package reedquay.core;

import java.math.BigDecimal;
import java.math.RoundingMode;

/** Parses decimal numbers to scaled integers. */
public final class Decimal {
    private Decimal() { }

    /**
     * Parses a decimal number to an integer count of units of 10^-digits, rounded towards zero and without the rounding
     * errors of a double. Throws NumberFormatException, or ArithmeticException if the result exceeds a long.
     */
    public static long parseScaled(String text, int digits) {
        int dot = text.indexOf('.');
        int end = text.length();
        if (text.indexOf('e') >= 0 || text.indexOf('E') >= 0 || end > 17
                || dot >= 0 && end - dot - 1 > digits) {
            BigDecimal exact = new BigDecimal(text).movePointRight(digits);
            return exact.setScale(0, RoundingMode.DOWN).longValueExact();
        }
        boolean negative = text.charAt(0) == '-';
        long value = 0;
        int fraction = 0;
        for (int i = negative ? 1 : 0; i < end; i++) {
            char c = text.charAt(i);
            if (c == '.' && i == dot) {
                continue;
            }
            if (c < '0' || c > '9') {
                throw new NumberFormatException(text);
            }
            value = value * 10 + (c - '0');
            fraction += dot >= 0 && i > dot ? 1 : 0;
        }
        for (int i = fraction; i < digits; i++) {
            value = Math.multiplyExact(value, 10);
        }
        return negative ? -value : value;
    }
}
