package reedquay.core;

/** A load report; a negative number, or role UNKNOWN, stands for what it does not say. */
public record Report(long position, Role role, double queue, double busy, double inFlight) {
    public static final long NO_POSITION = Long.MIN_VALUE;
    public static final Report NONE = new Report(NO_POSITION, Role.UNKNOWN, -1, -1, -1);
}
