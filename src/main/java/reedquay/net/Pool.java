package reedquay.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import reedquay.core.Member;
import reedquay.core.Outcome;

/**
 * The connections to one member. The most recently used one is taken first, so that surplus connections reach their
 * idle timeout. Times in nanoseconds.
 */
final class Pool {
    final Member member;
    private final Dispatcher dispatcher;
    private final Connector connector;
    private InetSocketAddress address;
    private long startedAt;
    private final Set<MemberConnection> connections = new LinkedHashSet<>();
    private final ArrayDeque<MemberConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<MemberRequest> pendingRequests = new ArrayDeque<>();
    private int openingCount;

    Pool(Dispatcher dispatcher, Member member, Connector connector) {
        this.dispatcher = dispatcher;
        this.member = member;
        this.connector = connector;
    }

    /** Takes address and process start from the member list; idle connections to an earlier process are closed. */
    void updateLocation(InetSocketAddress newAddress, long newStartedAt) {
        if (!newAddress.equals(address) || newStartedAt > startedAt) {
            closeAllIdle("moved");
        }
        address = newAddress;
        startedAt = Math.max(startedAt, newStartedAt);
    }

    /** Sends a request on an idle connection, or else on the next one that is ready. */
    void submit(MemberRequest request) {
        MemberConnection connection = idle.pollFirst();
        while (connection != null && !connection.isCleanNow()) { // data arrived while it was idle
            connection.close();
            connection = idle.pollFirst();
        }
        if (connection != null) {
            dispatcher.counters.add("member.reused");
            connection.send(request);
            return;
        }
        pendingRequests.addLast(request);
        if (openingCount < pendingRequests.size() && !openConnection()) {
            pendingRequests.remove(request);
            dispatcher.counters.add("member.nodescriptor");
            dispatcher.requestFailed(request, Outcome.NEVER_SENT);
        }
    }

    private boolean openConnection() {
        if (address == null || !dispatcher.limits.canOpenMemberConnection() && !dispatcher.closeAnyIdleConnection()) {
            return false; // no address is known, or no descriptor is left
        }
        dispatcher.limits.memberConnectionOpened();
        dispatcher.counters.add("member.opened");
        openingCount++;
        MemberConnection connection = new MemberConnection(dispatcher, this, dispatcher.clock.now());
        connections.add(connection);
        connector.connect(address, connection::connectFailed, connection.decoder, connection);
        return true;
    }

    /** A connection has completed its startup. */
    void connectionOpened() {
        openingCount--;
    }

    /** Assigns an open, unused connection to the request that has waited longest, or else keeps it idle. */
    void connectionReady(MemberConnection connection) {
        MemberRequest next = pendingRequests.pollFirst();
        if (next == null) {
            idle.addFirst(connection);
        } else if (next.callOut == null) {
            connection.send(next);
        } else {
            connection.state = MemberConnection.State.RESERVED;
            connection.request = next;
            next.connection = connection;
            dispatcher.submitInput(engine -> engine.connectionReady(next.callOut));
        }
    }

    /** Removes a closed connection; openFailure: the outcome of the request that waited for it, if it never opened. */
    void connectionClosed(MemberConnection connection, MemberConnection.State previous, Outcome openFailure) {
        connections.remove(connection);
        idle.remove(connection);
        if (previous == MemberConnection.State.OPENING) {
            openingCount--;
            dispatcher.counters.add("member.unopened");
            if (pendingRequests.size() > openingCount) {
                dispatcher.requestFailed(pendingRequests.pollFirst(), openFailure);
            }
        }
    }

    /** Withdraws a request that has not been written; a connection reserved for it serves the next one. */
    void withdraw(MemberRequest request) {
        MemberConnection reserved = request.connection;
        if (reserved == null) {
            pendingRequests.remove(request);
            return;
        }
        request.connection = null;
        reserved.request = null;
        reserved.state = MemberConnection.State.IDLE;
        connectionReady(reserved);
    }

    /** Closes the connection that has been idle longest, if it became idle before the given time. */
    boolean closeOldestIdle(long idleBefore, String reason) {
        MemberConnection oldest = idle.peekLast();
        if (oldest == null || oldest.idleSince >= idleBefore) {
            return false;
        }
        dispatcher.counters.add("member.closed." + reason);
        oldest.close();
        return true;
    }

    /** Closes all idle connections; reason: the last part of the name of the counter that counts them. */
    void closeAllIdle(String reason) {
        while (closeOldestIdle(Long.MAX_VALUE, reason)) { }
    }

    /** Closes connections that have timed out: while opening, on a request, or idle. */
    void sweep(long now, long connectTimeout, long idleTimeout) {
        while (closeOldestIdle(now - idleTimeout, "idle")) { }
        for (MemberConnection connection : new ArrayList<>(connections)) {
            if (connection.state == MemberConnection.State.OPENING && now - connection.openedAt >= connectTimeout) {
                connection.close();
            } else if (connection.state == MemberConnection.State.BUSY && now >= connection.request.deadline) {
                MemberRequest timedOut = connection.request;
                dispatcher.counters.add("member.closed.timeout");
                connection.abandon();
                dispatcher.requestFailed(timedOut, Outcome.TIMED_OUT);
            }
        }
    }

    void closeAll() {
        new ArrayList<>(connections).forEach(MemberConnection::close);
    }
}
