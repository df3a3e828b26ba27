package reedquay.fair;

import reedquay.core.Rpc;

/** An RPC at the door or inside. */
final class Turn {
    final Rpc rpc;
    final Ways ways;
    final Flows.Lane lane; // null where the way in is not known
    final int tenant;
    final long arrived;
    AdmissionController.State state = AdmissionController.State.NEW;
    long key; // of its client
    long cost; // work it is expected to be, in nanoseconds
    double worth; // its utility for that work
    boolean kept; // it came when it was told
    long until; // when it can no longer be answered in time, or a part of its time is gone
    long inside; // when it was let in
    boolean sampled; // measured, though there is no pressure
    boolean seen; // the Router knows of it
    boolean held; // the Router had to wait before the first call-out
    boolean sent; // a call-out of it has gone
    int place = Flows.NONE; // Flows' own
    int flow = Flows.NONE;
    Turn later; // the wheel's own
    Turn sooner;
    int spoke = -1;

    Turn(Rpc rpc, Ways ways, int tenant, long arrived) {
        this.rpc = rpc;
        this.ways = ways;
        this.lane = ways == null ? null : ways.lane;
        this.tenant = tenant;
        this.arrived = arrived;
    }
}
