package reedquay.fair;

/**
 * Adaptive limit on the RPCs of one traffic class that are in flight behind admission control, adjusted by additive
 * increase and multiplicative decrease from their outcomes. Without overload only bursts are limited, and the limit is
 * not adjusted. Reads no clock: the caller passes times, in nanoseconds.
 */
final class ConcurrencyLimit {
    /** NORMAL: only bursts are limited. OVERLOADED: the limit is in force and is adjusted. */
    enum State { NORMAL, OVERLOADED }

    /** Observations that can change the state or the limit. */
    enum Input {
        /** An RPC was answered, and the Router sends admitted RPCs on at once. */
        FAST_ANSWER,
        /** An RPC was answered, and the Router holds admitted RPCs for a part of their soft deadline. */
        SLOW_ANSWER,
        /** A member was full, or the Router pushed an RPC back for lack of capacity. */
        REJECTED,
        /** Far more RPCs would be in flight than recently: a burst is admitted no faster than its outcomes allow. */
        BURST,
        /** Nothing has waited for a while. */
        IDLE
    }

    private static final int BURST_ALLOWANCE = 16; // RPCs admitted at once, however few were in flight before
    private static final int MIN_LIMIT = 2; // with two RPCs, one can show free capacity when the other can't

    private interface Condition {
        boolean test(ConcurrencyLimit limit);
    }

    private interface Action {
        void run(ConcurrencyLimit limit);
    }

    private record Transition(State state, Input input, Condition condition, State nextState, Action action) { }

    private static final Condition ALWAYS = limit -> true;
    private static final Action NO_ACTION = limit -> { };

    /** State transitions. The first row whose state, input and condition match applies. */
    private static final Transition[] TRANSITIONS = {
        new Transition(State.NORMAL, Input.SLOW_ANSWER, limit -> limit.inFlight >= MIN_LIMIT, State.OVERLOADED,
                ConcurrencyLimit::enterOverload),
        new Transition(State.NORMAL, Input.REJECTED, limit -> limit.inFlight >= MIN_LIMIT, State.OVERLOADED,
                ConcurrencyLimit::enterOverload),
        new Transition(State.NORMAL, Input.BURST, ALWAYS, State.OVERLOADED, ConcurrencyLimit::enterOverloadByBurst),
        new Transition(State.OVERLOADED, Input.FAST_ANSWER, ConcurrencyLimit::nearLimit, State.OVERLOADED,
                ConcurrencyLimit::increase),
        new Transition(State.OVERLOADED, Input.SLOW_ANSWER, ConcurrencyLimit::mayDecrease, State.OVERLOADED,
                ConcurrencyLimit::decreaseByEighth),
        new Transition(State.OVERLOADED, Input.REJECTED, ConcurrencyLimit::mayDecrease, State.OVERLOADED,
                ConcurrencyLimit::halve),
        new Transition(State.OVERLOADED, Input.IDLE, ALWAYS, State.NORMAL, NO_ACTION),
    };

    private State state = State.NORMAL;
    private double limit = MIN_LIMIT;
    private long decreasedAt = Long.MIN_VALUE;
    private long now;
    private long serviceTime;
    private boolean exponentialGrowth; // from a burst to the first decrease: a round doubles the limit, not adds one
    private int peakInFlight; // recent maximum
    private int previousPeakInFlight; // recent maximum as of the end of the last window
    private int inFlight;
    private long overloadCount;

    /**
     * Applies an input. usualServiceTime: the usual time from admission to answer; a decrease shows its effect only
     * after that, so that no other decrease is made before.
     */
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

    /** Whether one more RPC may be admitted. Without overload a burst may reach a multiple of the recent maximum. */
    boolean hasCapacity() {
        return inFlight < (state == State.NORMAL ? 4 * previousPeakInFlight + BURST_ALLOWANCE : (int) limit);
    }

    /** Counts an RPC as in flight, from its admission on. */
    void acquire() {
        inFlight++;
        peakInFlight = Math.max(peakInFlight, inFlight);
    }

    /** Ends what acquire began for one RPC. */
    void release() { inFlight--; }

    int inFlight() { return inFlight; }

    /** Ends a window; the recent maximum decays by a quarter per window. */
    void closeWindow() {
        previousPeakInFlight = peakInFlight;
        peakInFlight = Math.max(inFlight, peakInFlight - peakInFlight / 4);
    }

    /** The number of RPCs that may be in flight while overloaded. */
    double current() { return limit; }

    private boolean nearLimit() { return inFlight + 1 >= (int) limit; }

    /** How often the traffic class has become overloaded. */
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
