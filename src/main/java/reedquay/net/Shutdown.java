package reedquay.net;

/** The times of an orderly stop, from the platform's page. */
final class Shutdown {
    /** After a stop is asked for, clients go on coming for up to 0.4 s; a little more is waited. */
    static final long ACCEPT_NANOS = 450_000_000;
    /** The kill comes so long after the longest deadline, which counts as 3 s where it is longer. */
    private static final long COUNTED = 700_000_000;
    private static final long LONGEST_AT_MOST = 3_000_000_000L;
    private static final long MARGIN = 100_000_000; // for printing and leaving before the kill

    private Shutdown() { }

    static long maxDurationNanos(long longestDeadline) {
        return Math.min(longestDeadline, LONGEST_AT_MOST) + COUNTED - MARGIN;
    }
}
