package reedquay.fair;

import reedquay.core.Rpc;

/** State of one RPC in admission control, from its arrival to its final answer. Times are in nanoseconds. */
final class AdmissionEntry {
    final Rpc rpc;
    final TrafficClass trafficClass; // null for an unknown group or method
    final FairScheduler.Queue queue; // null where there is no traffic class
    final int tenant; // index
    final long arrivedAt;
    AdmissionController.State state = AdmissionController.State.NEW;
    long clientKey; // seeded hash of the client's ID
    long cost; // expected work in nanoseconds; 0 before it is estimated
    double utilityPerWork;
    boolean reserved; // it arrived at the retry-after that its client was given
    long expiresAt; // when it can no longer be answered in time, or half of the time to its deadline has passed
    long admittedAt;
    boolean sampled; // its times are recorded even without overload
    boolean forwarded; // passed on to the Router
    boolean heldByRouter; // the Router delayed the first call-out
    boolean calledOut; // the first call-out was sent
    int entryIndex = FairScheduler.NONE; // position in FairScheduler's arrays of entries
    int flowIndex = FairScheduler.NONE; // its flow in FairScheduler; NONE while not queued or reserved
    AdmissionEntry wheelNext; // links and slot in the timer wheel
    AdmissionEntry wheelPrevious;
    int wheelSlot = -1;

    AdmissionEntry(Rpc rpc, TrafficClass trafficClass, int tenant, long arrivedAt) {
        this.rpc = rpc;
        this.trafficClass = trafficClass;
        this.queue = trafficClass == null ? null : trafficClass.queue;
        this.tenant = tenant;
        this.arrivedAt = arrivedAt;
    }
}
