package reedquay.fair;

import reedquay.core.Latency;

/** One way into a group, reads or writes: its queue, room, rate and calendar. */
final class TrafficClass {
    final FairScheduler.Queue queue;
    final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
    final RetryReservations.Schedule schedule;
    final Latency holdTimes; // how long the Router held what was let in, as if its soft deadline were the shortest
    final Latency serviceTimes; // time inside
    private final long window;
    private long windowStartedAt;
    private double servedRpcs; // in this window, RPCs
    private double servedWork; // and their work
    private double rpcsPerSecond; // smoothed
    private double workPerSecond;
    private boolean saturated; // something waited or was turned away in this window: what is served is what can be
    long lastOkAt = Long.MIN_VALUE; // the last answer that was ok
    long lastQueuedAt = Long.MIN_VALUE; // when something waited last

    TrafficClass(FairScheduler.Queue queue, RetryReservations.Schedule schedule, long timeUnit, long window) {
        this.queue = queue;
        this.schedule = schedule;
        this.window = window;
        holdTimes = new Latency(Math.max(1, timeUnit / 16));
        serviceTimes = new Latency(timeUnit);
    }

    /** Closes the window that has ended. What is served without pressure says nothing of what could be. */
    void closeWindow(long now) {
        long elapsed = now - windowStartedAt;
        if (elapsed < window) {
            return;
        }
        if (elapsed < 2 * window && saturated) {
            double seconds = elapsed / 1e9;
            double smoothing = rpcsPerSecond == 0 || servedRpcs / seconds < rpcsPerSecond / 2 ? 1 : 0.5; // a loss is believed at once
            rpcsPerSecond += (servedRpcs / seconds - rpcsPerSecond) * smoothing;
            workPerSecond += (servedWork / seconds - workPerSecond) * smoothing;
        }
        windowStartedAt = now;
        concurrencyLimit.closeWindow();
        servedRpcs = servedWork = 0;
        saturated = queue.length() > 0 || !queue.reserved.isEmpty();
    }

    void recordServed(long cost) {
        servedRpcs++;
        servedWork += cost;
    }

    void markSaturated() { saturated = true; }

    /** RPCs a second, as seen under pressure, or by those inside where none has been seen. */
    double rpcRate(long serviceTime) {
        return rpcsPerSecond > 0 ? rpcsPerSecond : concurrencyLimit.current() * 1e9 / Math.max(1, serviceTime);
    }

    /** Work a second, in nanoseconds of it; the cost is what one RPC is taken to be where nothing has been seen. */
    double workRate(long serviceTime, long cost) {
        return workPerSecond > 0 ? workPerSecond : rpcRate(serviceTime) * cost;
    }
}
