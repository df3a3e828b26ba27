package reedquay.net;

import reedquay.pg.Frame;

/** How many of what may be open or held, derived from the limits told. */
final class Limits {
    static final int MAX_MESSAGE_BYTES = 256 * 1024; // a value of 64 KiB in hex, and its statement
    static final long UNUSED_TIMEOUT_NANOS = 2_000_000_000; // after that a connection without an open RPC may be closed
    private static final int MESSAGE_OVERHEAD_BYTES = 128; // what a message costs beside its bytes
    private static final int RESERVED_DESCRIPTORS = 64; // descriptors of the process itself: jars, selectors, logs, discovery

    final int maxClients;
    final int clientsSoftLimit; // above this, sessions between RPCs are closed
    final int startedSessionsSoftLimit; // the same for those that have spoken: clients use a third of the descriptors for RPCs
    final int maxMemberConnections;
    final int maxQueuedBytes; // what one client may send ahead
    private int openClients;
    private int openMemberConnections;
    private final long maxHeldBytes;
    private long heldBytes;
    private long partial;

    Limits(int sockets, int memoryMb) {
        maxHeldBytes = memoryMb * 1024L * 1024 / 8;
        int ours = Math.max(16, sockets - RESERVED_DESCRIPTORS);
        maxClients = ours * 5 / 8;
        clientsSoftLimit = maxClients * 7 / 8;
        startedSessionsSoftLimit = Math.min(maxClients, sockets / 3) * 7 / 8;
        maxMemberConnections = ours - maxClients;
        maxQueuedBytes = (int) Math.min(2 * MAX_MESSAGE_BYTES, maxHeldBytes / maxClients);
    }

    boolean clientOpened() {
        return ++openClients > clientsSoftLimit;
    }

    void clientClosed() {
        openClients--;
    }

    int openClients() {
        return openClients;
    }

    /** Counts the bytes of clients' messages that are held until they are answered. */
    void addHeldBytes(int bytes) {
        heldBytes += bytes;
    }

    /** Guards the memory told: above this nothing more is read from clients. */
    boolean isMemoryFull() {
        return heldBytes > maxHeldBytes;
    }

    /** Counts the bytes of clients' messages that are not whole yet. */
    void addPartialBytes(int bytes) {
        partial += bytes;
    }

    /** Guards the memory told against messages that are begun and never ended. */
    boolean isPartialMemoryFull() {
        return partial > maxHeldBytes;
    }

    long partialBytes() {
        return partial;
    }

    static int memoryCost(Frame frame) {
        return frame.content().readableBytes() + MESSAGE_OVERHEAD_BYTES;
    }

    /** How many further messages there is room for, one at least. */
    int remainingMessages() {
        return (int) Math.max(1, (maxHeldBytes - heldBytes - partial) / MAX_MESSAGE_BYTES);
    }

    long heldBytes() {
        return heldBytes;
    }

    boolean canOpenMemberConnection() {
        return openMemberConnections < maxMemberConnections;
    }

    void memberConnectionOpened() {
        openMemberConnections++;
    }

    void memberConnectionClosed() {
        openMemberConnections--;
    }

    int openMemberConnections() {
        return openMemberConnections;
    }
}
