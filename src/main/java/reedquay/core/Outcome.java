package reedquay.core;

/** How a call-out or a probe ended, and whether that proves that it never ran. */
public enum Outcome {
    OK(false), ERROR(false), FULL(true), TIMED_OUT(false), NO_CONNECTION(true), RESET(false),
    CANCELLED(false), NEVER_SENT(true), MISS(true),
    /** An answer came that cannot be read. */
    SPOILT(false),
    /** A connection kept from an earlier statement broke under this one. */
    STALE(false);

    public final boolean provesNeverRan;

    Outcome(boolean provesNeverRan) {
        this.provesNeverRan = provesNeverRan;
    }
}
