package reedquay.fair;

import reedquay.core.Rpc;

/** An RPC at the door or inside. */
final class AdmissionEntry {
    final Rpc rpc;
    final TrafficClass trafficClass;
    final FairScheduler.Queue queue; // null where the way in is not known
    final int tenant;
    final long arrivedAt;
    AdmissionController.State state = AdmissionController.State.NEW;
    long clientKey; // of its client
    long cost; // work it is expected to be, in nanoseconds
    double utilityPerWork; // its utility for that work
    boolean reserved; // it came when it was told
    long expiresAt; // when it can no longer be answered in time, or a part of its time is gone
    long admittedAt; // when it was let in
    boolean sampled; // measured, though there is no pressure
    boolean forwarded; // the Router knows of it
    boolean heldByRouter; // the Router had to wait before the first call-out
    boolean calledOut; // a call-out of it has gone
    int entryIndex = FairScheduler.NONE; // Flows' own
    int flowIndex = FairScheduler.NONE;
    AdmissionEntry wheelNext; // the wheel's own
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
