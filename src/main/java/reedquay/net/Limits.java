package reedquay.net;

import io.netty.util.internal.PlatformDependent;
import reedquay.memory.BufferReservations;
import reedquay.memory.StatementMemory;

/** Limits on open connections and on memory for messages, derived from the configured limits, and the current use. */
final class Limits {
    static final int MAX_MESSAGE_BYTES = 256 * 1024; // fits a statement with a value of 64 KiB in hex
    static final int MAX_QUEUED_BYTES = 2 * MAX_MESSAGE_BYTES; // of one client's pipelined messages
    static final long UNUSED_TIMEOUT_NANOS = 2_000_000_000; // after this a connection without an open RPC may be closed
    private static final int RESERVED_DESCRIPTORS = 64; // for the process itself: jars, selectors, logs, discovery

    final int maxClients;
    final int clientsSoftLimit; // above this, sessions between RPCs are closed
    /** The same for sessions that sent their startup message: clients use a third of the descriptors for RPCs. */
    final int startedSessionsSoftLimit;
    final int maxMemberConnections;
    private int openClients;
    private int openMemberConnections;
    /** The memory that complete statements take until they are answered. */
    final StatementMemory statementMemory;
    /** The memory that incomplete messages reserve; what their senders never complete must not use up the rest. */
    final BufferReservations<InputOwner> unfinishedInput;
    /** The memory that answers take which their clients have not read. */
    final BufferReservations<ClientSession> unreadOutput;

    Limits(int sockets, int memoryMb) {
        long eighthOfMemory = memoryMb * 1024L * 1024 / 8;
        // the buffers of all three uses are direct memory, of which some stays for what is read and sent at a time
        long sixteenthOfDirect = PlatformDependent.maxDirectMemory() / 16;
        statementMemory = new StatementMemory(Math.min(eighthOfMemory, 6 * sixteenthOfDirect));
        unfinishedInput = new BufferReservations<>(Math.min(eighthOfMemory, 3 * sixteenthOfDirect));
        unreadOutput = new BufferReservations<>(Math.min(eighthOfMemory, 2 * sixteenthOfDirect));
        int available = Math.max(16, sockets - RESERVED_DESCRIPTORS);
        maxClients = available * 5 / 8;
        clientsSoftLimit = maxClients * 7 / 8;
        startedSessionsSoftLimit = Math.min(maxClients, sockets / 3) * 7 / 8;
        maxMemberConnections = available - maxClients;
    }

    /** Counts a new client connection. */
    void clientOpened() {
        openClients++;
    }

    void clientClosed() {
        openClients--;
    }

    int openClients() {
        return openClients;
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
