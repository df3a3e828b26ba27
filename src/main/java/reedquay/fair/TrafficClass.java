package reedquay.fair;

import reedquay.core.LatencyHistogram;

/** The reads or the writes of one group: their queue, concurrency limit, service rate and retry-after schedule. */
final class TrafficClass {
    final FairScheduler.Queue queue;
    final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
    final RetryReservations.Schedule schedule;
    final LatencyHistogram holdTimes; // from admission to first call-out, scaled to the shortest soft deadline
    final LatencyHistogram serviceTimes; // from admission to answer
    private final long window; // nanoseconds
    private long windowStartedAt;
    private double servedRpcs; // in this window
    private double servedWork; // in this window, in nanoseconds
    private double rpcsPerSecond; // smoothed
    private double workPerSecond; // smoothed
    private boolean saturated; // RPCs waited or were pushed back in this window, so that it shows the capacity
    long lastOkAt = Long.MIN_VALUE; // time of the last ok answer
    long lastQueuedAt = Long.MIN_VALUE; // when an RPC was last queued or rejected

    /**
     * timeUnit: the unit of the service times; that of the hold times is a sixteenth of it. window: the length of the
     * windows over which rates are measured. Both are in nanoseconds.
     */
    TrafficClass(FairScheduler.Queue queue, RetryReservations.Schedule schedule, long timeUnit, long window) {
        this.queue = queue;
        this.schedule = schedule;
        this.window = window;
        holdTimes = new LatencyHistogram(Math.max(1, timeUnit / 16));
        serviceTimes = new LatencyHistogram(timeUnit);
    }

    /**
     * Ends the window if its time is over. The rates are updated only from saturated windows; what is served without
     * overload doesn't show what could be served.
     */
    void closeWindow(long now) {
        long elapsed = now - windowStartedAt;
        if (elapsed < window) {
            return;
        }
        if (elapsed < 2 * window && saturated) {
            double seconds = elapsed / 1e9;
            // a drop of the rate below half applies at once
            double smoothing = rpcsPerSecond == 0 || servedRpcs / seconds < rpcsPerSecond / 2 ? 1 : 0.5;
            rpcsPerSecond += (servedRpcs / seconds - rpcsPerSecond) * smoothing;
            workPerSecond += (servedWork / seconds - workPerSecond) * smoothing;
        }
        windowStartedAt = now;
        concurrencyLimit.closeWindow();
        servedRpcs = servedWork = 0;
        saturated = queue.length() > 0 || !queue.reserved.isEmpty();
    }

    /** Counts an RPC that was answered; cost: its expected work in nanoseconds. */
    void recordServed(long cost) {
        servedRpcs++;
        servedWork += cost;
    }

    /** Records that an RPC waited or was pushed back, so that what is served in this window shows the capacity. */
    void markSaturated() { saturated = true; }

    /** RPCs per second as measured under overload; before that, the concurrency limit over the service time. */
    double rpcRate(long serviceTime) {
        return rpcsPerSecond > 0 ? rpcsPerSecond : concurrencyLimit.current() * 1e9 / Math.max(1, serviceTime);
    }

    /**
     * Nanoseconds of work per second as measured under overload; before that, the RPC rate times cost, the assumed work
     * of one RPC.
     */
    double workRate(long serviceTime, long cost) {
        return workPerSecond > 0 ? workPerSecond : rpcRate(serviceTime) * cost;
    }
}
