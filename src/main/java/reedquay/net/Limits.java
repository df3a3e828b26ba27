package reedquay.net;

/** How many of what may be open or held, derived from the limits told. */
final class Limits {
    static final int LONGEST_MESSAGE = 256 * 1024; // a value of 64 KiB in hex, and its statement
    private static final int OWN = 64; // descriptors of the process itself: jars, selectors, logs, discovery

    final int clients;
    final int clientsWanted; // above this, sessions between RPCs are closed
    final int members;
    final int waitingBytes; // what one client may send ahead
    private int clientsOpen;
    private int membersOpen;

    Limits(int sockets) {
        int ours = Math.max(16, sockets - OWN);
        clients = ours * 5 / 8;
        clientsWanted = clients * 7 / 8;
        members = ours - clients;
        waitingBytes = 2 * LONGEST_MESSAGE;
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
