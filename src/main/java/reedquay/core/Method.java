package reedquay.core;

/**
 * A method of RPCs as the settings describe it; times in nanoseconds. maxAge: the greatest age of the data for a
 * bounded read; utility: the value of an answer up to the soft deadline; lateUtilityShare: the part of it that an
 * answer has after that.
 */
public record Method(String name, Consistency consistency, long maxAge, long softDeadline, long deadline,
        double utility, double lateUtilityShare, RetrySafety retrySafety, DeduplicationScope deduplicationScope,
        long deduplicationWindow) {
    /** The consistency that a method needs: a write, or how recent the data of a read must be. */
    public enum Consistency { WRITE, FRESH, SESSION, BOUNDED, ANY }

    /** Whether a second run of the same RPC is harmless; TOKENED: members drop repeats by a token for a time. */
    public enum RetrySafety { IDEMPOTENT, TOKENED, NON_IDEMPOTENT }

    /** Among which members repeats of a tokened RPC are dropped. */
    public enum DeduplicationScope { ALL, ZONE, GROUP }
}
