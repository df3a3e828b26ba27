package reedquay.fair;

/**
 * How many RPCs one way into a group can have inside, learnt from what becomes of them. Without pressure there is no
 * limit and nothing to learn. No clock: the caller says when.
 */
final class ConcurrencyLimit {
    enum State { NORMAL, OVERLOADED }

    enum Input {
        /** An answer came, and what is let in goes on at once. */
        FAST_ANSWER,
        /** An answer came, and what is let in has to be held for a part of its soft deadline. */
        SLOW_ANSWER,
        /** A member had no room, or the decisions turned an RPC away for want of it. */
        REJECTED,
        /** Far more would be inside than of late: a burst is let in no faster than it shows what it does. */
        BURST,
        /** Nothing waits, and it has been so for a while. */
        IDLE
    }

    private static final int BURST_ALLOWANCE = 16; // let in at once whatever is known
    private static final int MIN_LIMIT = 2; // two can always be inside: one shows what the other can't

    private interface Condition {
        boolean test(ConcurrencyLimit limit);
    }

    private interface Action {
        void run(ConcurrencyLimit limit);
    }

    private record Transition(State state, Input input, Condition condition, State nextState, Action action) { }

    private static final Condition ALWAYS = r -> true;
    private static final Action NO_ACTION = r -> { };

    /** The first row whose state, input and condition hold is taken. */
    private static final Transition[] TRANSITIONS = {
        new Transition(State.NORMAL, Input.SLOW_ANSWER, r -> r.inFlight >= MIN_LIMIT, State.OVERLOADED, ConcurrencyLimit::enterOverload),
        new Transition(State.NORMAL, Input.REJECTED, r -> r.inFlight >= MIN_LIMIT, State.OVERLOADED, ConcurrencyLimit::enterOverload),
        new Transition(State.NORMAL, Input.BURST, ALWAYS, State.OVERLOADED, ConcurrencyLimit::enterOverloadByBurst),
        new Transition(State.OVERLOADED, Input.FAST_ANSWER, ConcurrencyLimit::nearLimit, State.OVERLOADED, ConcurrencyLimit::increase),
        new Transition(State.OVERLOADED, Input.SLOW_ANSWER, ConcurrencyLimit::mayDecrease, State.OVERLOADED, ConcurrencyLimit::decreaseByEighth),
        new Transition(State.OVERLOADED, Input.REJECTED, ConcurrencyLimit::mayDecrease, State.OVERLOADED, ConcurrencyLimit::halve),
        new Transition(State.OVERLOADED, Input.IDLE, ALWAYS, State.NORMAL, NO_ACTION),
    };

    private State state = State.NORMAL;
    private double limit = MIN_LIMIT;
    private long decreasedAt = Long.MIN_VALUE;
    private long now;
    private long serviceTime;
    private boolean exponentialGrowth; // it has not been cut since a burst began: it doubles instead of growing by one
    private int peakInFlight; // most inside of late
    private int previousPeakInFlight; // the same, as of the last window
    private int inFlight;
    private long overloadCount;

    /** pace: the usual time of an RPC inside; what was cut shows its effect after that. */
    void observe(Input input, long observedAt, long usualServiceTime) {
        now = observedAt;
        serviceTime = usualServiceTime;
        for (Transition transition : TRANSITIONS) {
            if (transition.state == state && transition.input == input && transition.condition.test(this)) {
                state = transition.nextState;
                transition.action.run(this);
                return;
            }
        }
    }

    boolean overloaded() { return state == State.OVERLOADED; }

    /** Whether one more may go in. */
    boolean hasCapacity() { return inFlight < (state == State.NORMAL ? 4 * previousPeakInFlight + BURST_ALLOWANCE : (int) limit); }

    void acquire() {
        inFlight++;
        peakInFlight = Math.max(peakInFlight, inFlight);
    }

    void release() { inFlight--; }

    int inFlight() { return inFlight; }

    /** A window has ended: what was inside at most counts for less as time goes. */
    void closeWindow() {
        previousPeakInFlight = peakInFlight;
        peakInFlight = Math.max(inFlight, peakInFlight - peakInFlight / 4);
    }

    /** How many may be inside while it is pressed. */
    double current() { return limit; }

    private boolean nearLimit() { return inFlight + 1 >= (int) limit; }

    /** How often it came under pressure. */
    long overloadCount() { return overloadCount; }

    private void enterOverload() {
        overloadCount++;
        limit = Math.max(MIN_LIMIT, inFlight);
        decreaseByEighth();
    }

    private void enterOverloadByBurst() {
        overloadCount++;
        limit = Math.max(MIN_LIMIT, inFlight);
        exponentialGrowth = true;
    }

    private void increase() { limit += exponentialGrowth ? 1 : 1 / limit; }

    private boolean mayDecrease() { return now - serviceTime >= decreasedAt; }

    private void decreaseByEighth() { decreaseToEighths(7); }

    private void halve() { decreaseToEighths(4); }

    private void decreaseToEighths(int eighths) {
        decreasedAt = now;
        exponentialGrowth = false;
        limit = Math.max(MIN_LIMIT, Math.min(limit, inFlight + 1) * eighths / 8);
    }
}
