package reedquay.core;

/** A load report; a negative number, or role UNKNOWN, stands for what it does not say. */
public record LoadReport(long position, Role role, double queueLength, double cpuUtilization, double inFlight) {
    public static final long NO_POSITION = Long.MIN_VALUE;
    public static final LoadReport NONE = new LoadReport(NO_POSITION, Role.UNKNOWN, -1, -1, -1);
}
