package reedquay.net;

import reedquay.pg.Frame;

/** How many of what may be open or held, derived from the limits told. */
final class Limits {
    static final int LONGEST_MESSAGE = 256 * 1024; // a value of 64 KiB in hex, and its statement
    static final long UNUSED = 2_000_000_000; // after that a connection without an open RPC may be closed
    private static final int FRAME = 128; // what a message costs beside its bytes
    private static final int OWN = 64; // descriptors of the process itself: jars, selectors, logs, discovery

    final int clients;
    final int clientsWanted; // above this, sessions between RPCs are closed
    final int spokenWanted; // the same for those that have spoken: clients use a third of the descriptors for RPCs
    final int members;
    final int waitingBytes; // what one client may send ahead
    private int clientsOpen;
    private int membersOpen;
    private final long mayHold;
    private long held;
    private long partial;

    Limits(int sockets, int memoryMb) {
        mayHold = memoryMb * 1024L * 1024 / 8;
        int ours = Math.max(16, sockets - OWN);
        clients = ours * 5 / 8;
        clientsWanted = clients * 7 / 8;
        spokenWanted = Math.min(clients, sockets / 3) * 7 / 8;
        members = ours - clients;
        waitingBytes = (int) Math.min(2 * LONGEST_MESSAGE, mayHold / clients);
    }

    boolean clientOpened() {
        return ++clientsOpen > clientsWanted;
    }

    void clientClosed() {
        clientsOpen--;
    }

    int clientsOpen() {
        return clientsOpen;
    }

    /** Counts the bytes of clients' messages that are held until they are answered. */
    void hold(int bytes) {
        held += bytes;
    }

    /** Guards the memory told: above this nothing more is read from clients. */
    boolean full() {
        return held > mayHold;
    }

    /** Counts the bytes of clients' messages that are not whole yet. */
    void partial(int bytes) {
        partial += bytes;
    }

    /** Guards the memory told against messages that are begun and never ended. */
    boolean partialFull() {
        return partial > mayHold;
    }

    long partial() {
        return partial;
    }

    static int cost(Frame frame) {
        return frame.content().readableBytes() + FRAME;
    }

    /** How many further messages there is room for, one at least. */
    int messagesToCome() {
        return (int) Math.max(1, (mayHold - held - partial) / LONGEST_MESSAGE);
    }

    long held() {
        return held;
    }

    boolean mayOpenMember() {
        return membersOpen < members;
    }

    void memberOpened() {
        membersOpen++;
    }

    void memberClosed() {
        membersOpen--;
    }

    int membersOpen() {
        return membersOpen;
    }
}
