package reedquay.core;

/** One method of RPC as the settings describe it; times in nanoseconds. */
public record Method(String name, Need need, long maxAge, long softDeadline, long deadline, double utility,
        double lateShare, Effect effect, Scope scope, long window) {
    /** How recent the data must be. */
    public enum Need { WRITE, FRESH, SESSION, BOUNDED, ANY }

    /** What a second run of the same RPC would do. */
    public enum Effect { IDEMPOTENT, TOKENED, NON_IDEMPOTENT }

    /** Where repeats of a tokened RPC are dropped. */
    public enum Scope { ALL, ZONE, GROUP }
}
