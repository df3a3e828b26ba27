package reedquay.core;

/**
 * A member's load report; a negative number, NO_POSITION or the role UNKNOWN stand for what it does not say. position:
 * the time in nanoseconds up to which the member has all writes; queueLength: call-outs that wait at the member;
 * cpuUtilization: 0 to 1; inFlight: call-outs that the member is running.
 */
public record LoadReport(long position, Role role, double queueLength, double cpuUtilization, double inFlight) {
    public static final long NO_POSITION = Long.MIN_VALUE;
    public static final LoadReport NONE = new LoadReport(NO_POSITION, Role.UNKNOWN, -1, -1, -1);
}
