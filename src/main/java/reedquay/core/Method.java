package reedquay.core;

/** One method of RPC as the settings describe it; times in nanoseconds. */
public record Method(String name, Consistency consistency, long maxAge, long softDeadline, long deadline, double utility,
        double lateUtilityShare, RetrySafety retrySafety, DeduplicationScope deduplicationScope, long deduplicationWindow) {
    /** How recent the data must be. */
    public enum Consistency { WRITE, FRESH, SESSION, BOUNDED, ANY }

    /** What a second run of the same RPC would do. */
    public enum RetrySafety { IDEMPOTENT, TOKENED, NON_IDEMPOTENT }

    /** Where repeats of a tokened RPC are dropped. */
    public enum DeduplicationScope { ALL, ZONE, GROUP }
}
