package reedquay.core;

/**
 * The outcome of a call-out or a probe. FULL: the member rejected it since it has no capacity left; MISS: the member is
 * not the primary or lags too far. The names are written out in counters and trace lines.
 */
public enum Outcome {
    OK(false), ERROR(false), FULL(true), TIMED_OUT(false), NO_CONNECTION(true), RESET(false),
    CANCELLED(false), NEVER_SENT(true), MISS(true),
    /** The answer was malformed. */
    SPOILT(false),
    /** A pooled connection, idle since an earlier statement, broke during this one. */
    STALE(false);

    /** Whether this outcome proves that the member did not run the RPC. */
    public final boolean provesNeverRan;

    Outcome(boolean provesNeverRan) {
        this.provesNeverRan = provesNeverRan;
    }
}
