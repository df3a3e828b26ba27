package reedquay.core;

/** A success rate over recent attempts; both counts are halved whenever the attempts reach HALVING_ATTEMPTS. */
public final class SuccessRate {
    private static final int HALVING_ATTEMPTS = 64;
    private int attempts, successes;

    /** Counts an attempt. */
    public void recordAttempt() {
        attempts++;
        if (attempts >= HALVING_ATTEMPTS) {
            attempts /= 2;
            successes /= 2;
        }
    }

    /** Counts the success of an attempt. */
    public void recordSuccess() { successes++; }

    /** The rate, 0 to 1, with one successful attempt added, so that it is 1 before the first attempt. */
    public double rate() { return (successes + 1.0) / (attempts + 1); }
}
