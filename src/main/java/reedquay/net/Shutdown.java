package reedquay.net;

/** The times of an orderly shutdown, as the platform defines them. */
final class Shutdown {
    /** How long new clients are accepted: they go on connecting for up to 0.4 s after the request to stop. */
    static final long ACCEPT_NANOS = 450_000_000;
    /** The platform kills the process this long after the longest deadline, which counts as 3 s where it is longer. */
    private static final long KILL_DELAY_NANOS = 700_000_000;
    private static final long MAX_COUNTED_DEADLINE_NANOS = 3_000_000_000L;
    private static final long EXIT_MARGIN_NANOS = 100_000_000; // to print the counters and exit before the kill

    private Shutdown() { }

    /** How long a shutdown may take; longestDeadline: of all methods. */
    static long maxDurationNanos(long longestDeadline) {
        return Math.min(longestDeadline, MAX_COUNTED_DEADLINE_NANOS) + KILL_DELAY_NANOS - EXIT_MARGIN_NANOS;
    }
}
