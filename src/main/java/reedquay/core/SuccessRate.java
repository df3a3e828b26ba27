package reedquay.core;

/** How many of what was asked came to something; both halved from time to time. */
public final class SuccessRate {
    private static final int MOST = 64;
    private int attempts, successes;

    public void recordAttempt() {
        attempts++;
        if (attempts >= MOST) {
            attempts /= 2;
            successes /= 2;
        }
    }

    public void recordSuccess() { successes++; }

    /** With one sample of all well while nothing has been seen. */
    public double rate() { return (successes + 1.0) / (attempts + 1); }
}
