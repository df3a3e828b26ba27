package reedquay.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import reedquay.core.Member;
import reedquay.core.Outcome;

/** The connections to one member. The one used last goes out first, so that the others fall idle. */
final class Pool {
    final Member member;
    private final Dispatcher door;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private long startedAt;
    private final Set<MemberConnection> all = new LinkedHashSet<>();
    private final ArrayDeque<MemberConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<MemberRequest> waiting = new ArrayDeque<>();
    private int opening;

    Pool(Dispatcher door, Member member, Bootstrap bootstrap) {
        this.door = door;
        this.member = member;
        this.bootstrap = bootstrap;
    }

    /** What the list says of the member's process; connections to an earlier one are of no use. */
    void updateLocation(InetSocketAddress where, long started) {
        if (!where.equals(address) || started > startedAt) {
            closeAllIdle("moved");
        }
        address = where;
        startedAt = Math.max(startedAt, started);
    }

    /** Sends at once on an idle connection, else when the next one is ready. */
    void submit(MemberRequest send) {
        MemberConnection connection = idle.pollFirst();
        while (connection != null && !connection.isClean()) { // guards against a surplus that came while it was idle
            connection.close();
            connection = idle.pollFirst();
        }
        if (connection != null) {
            door.counters.add("member.reused");
            connection.send(send);
            return;
        }
        waiting.addLast(send);
        if (opening < waiting.size() && !openConnection()) {
            waiting.remove(send);
            door.counters.add("member.nodescriptor");
            door.requestFailed(send, Outcome.NEVER_SENT);
        }
    }

    private boolean openConnection() {
        if (address == null || !door.limits.canOpenMemberConnection() && !door.closeAnyIdleConnection()) {
            return false; // no list has said where, or no descriptor is left
        }
        door.limits.memberConnectionOpened();
        door.counters.add("member.opened");
        opening++;
        MemberConnection connection = new MemberConnection(door, this, door.clock.now());
        all.add(connection);
        ChannelFuture up = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection.decoder, connection);
            }
        }).connect(address);
        up.addListener(f -> {
            if (!f.isSuccess()) {
                connection.close();
            }
        });
        return true;
    }

    void connectionOpened() {
        opening--;
    }

    /** A connection has come up or has become free. */
    void connectionReady(MemberConnection connection) {
        MemberRequest next = waiting.pollFirst();
        if (next == null) {
            idle.addFirst(connection);
        } else if (next.callOut == null) {
            connection.send(next);
        } else {
            connection.state = MemberConnection.State.RESERVED;
            connection.request = next;
            next.connection = connection;
            door.submitInput(d -> d.connectionReady(next.callOut));
        }
    }

    void connectionClosed(MemberConnection connection, MemberConnection.State before, Outcome whyNot) {
        all.remove(connection);
        idle.remove(connection);
        if (before == MemberConnection.State.OPENING) {
            opening--;
            door.counters.add("member.unopened");
            if (waiting.size() > opening) {
                door.requestFailed(waiting.pollFirst(), whyNot);
            }
        }
    }

    /** Takes back what has not been written; its connection serves another. */
    void withdraw(MemberRequest send) {
        MemberConnection reserved = send.connection;
        if (reserved == null) {
            waiting.remove(send);
            return;
        }
        send.connection = null;
        reserved.request = null;
        reserved.state = MemberConnection.State.IDLE;
        connectionReady(reserved);
    }

    /** Closes the connection that has been idle longest, as long as it is one since before the given time. */
    boolean closeOldestIdle(long before, String why) {
        MemberConnection oldest = idle.peekLast();
        if (oldest == null || oldest.idleSince >= before) {
            return false;
        }
        door.counters.add("member.closed." + why);
        oldest.close();
        return true;
    }

    void closeAllIdle(String why) {
        while (closeOldestIdle(Long.MAX_VALUE, why)) { }
    }

    /** Ends what has taken too long: to come up, to answer, or without work. */
    void sweep(long now, long connectTimeout, long idleFor) {
        while (closeOldestIdle(now - idleFor, "idle")) { }
        for (MemberConnection c : new ArrayList<>(all)) {
            if (c.state == MemberConnection.State.OPENING && now - c.openedAt >= connectTimeout) {
                c.close();
            } else if (c.state == MemberConnection.State.BUSY && now >= c.request.deadline) {
                MemberRequest late = c.request;
                door.counters.add("member.closed.timeout");
                c.abandon();
                door.requestFailed(late, Outcome.TIMED_OUT);
            }
        }
    }

    void closeAll() {
        new ArrayList<>(all).forEach(MemberConnection::close);
    }
}
