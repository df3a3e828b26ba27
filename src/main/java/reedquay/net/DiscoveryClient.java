package reedquay.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import reedquay.core.ListedMember;
import reedquay.core.ListedMember.ListKind;
import reedquay.members.MembershipReconciler;
import reedquay.members.MembershipReconciler.Entry;
import reedquay.members.MembershipReconciler.ListUpdate;
import reedquay.members.MembershipReconciler.Watch;

/**
 * The client of the discovery service: opens HTTP watches on the agents' addresses and parses the member lists that
 * they send. MembershipReconciler decides which watches are open and which list is in force.
 */
final class DiscoveryClient implements MembershipReconciler.Actions {
    private static final long HEARTBEAT_NANOS = 2_000_000_000; // agents send an empty line if nothing changes
    private static final int MAX_LIST_BYTES = 4 << 20;

    private final Dispatcher dispatcher;
    private final Connector connector;
    private final EventLoop loop;
    private final MembershipReconciler reconciler;

    DiscoveryClient(Dispatcher dispatcher, Connector connector, EventLoop loop) {
        this.dispatcher = dispatcher;
        this.connector = connector;
        this.loop = loop;
        reconciler = new MembershipReconciler(HEARTBEAT_NANOS, dispatcher.settings().rules().drainGrace(), this);
    }

    /** Whether any discovery agent has sent a list since the start. */
    boolean hasReceivedList() {
        return reconciler.hasReceivedList();
    }

    /** Restores the cached list, which this gateway had before a restart. */
    void restore(JsonObject cachedList) {
        reconcilerNow().restore(parseList(cachedList, true));
    }

    /** Takes the list from this address from now on. */
    void moveTo(InetSocketAddress newAddress) {
        reconcilerNow().moveTo(newAddress);
    }

    /** Closes the watches that have received nothing, heartbeats included, for too long. */
    void closeSilentWatches() {
        reconcilerNow().closeSilentWatches();
    }

    void close() {
        reconcilerNow().close();
    }

    /** A row per watch: address, state, generations received and in force, milliseconds since the last line. */
    List<String[]> statusRows() {
        List<String[]> rows = reconcilerNow().statusRows();
        rows.forEach(row -> row[4] = Long.toString(Long.parseLong(row[4]) / 1_000_000));
        return rows;
    }

    /** The reconciler, set to the present time. */
    private MembershipReconciler reconcilerNow() {
        reconciler.beginBatch(dispatcher.clock.now());
        return reconciler;
    }

    // ---- Actions of the reconciler ----

    @Override public void openWatch(Watch watch) {
        WatchHandler handler = new WatchHandler(watch);
        watch.frontState = handler;
        connector.connect((InetSocketAddress) watch.address, cause -> reconcilerNow().failed(watch),
                new HttpClientCodec(), handler);
    }

    @Override public void closeWatch(Watch watch) {
        ((WatchHandler) watch.frontState).close();
    }

    @Override public void scheduleReopen(long delay) {
        loop.schedule(() -> reconcilerNow().reopenTimerExpired(), delay, TimeUnit.NANOSECONDS);
    }

    @Override public void updateMembers(ListKind kind, List<Entry> entries) {
        List<ListedMember> listed = new ArrayList<>();
        for (Entry entry : entries) {
            Attributes attributes = (Attributes) entry.attributes();
            Pool pool = dispatcher.pool(entry.id());
            if (attributes.address != null) {
                pool.updateLocation(attributes.address, entry.startedAt());
            }
            listed.add(new ListedMember(pool.member, attributes.zone, attributes.machineType, attributes.group,
                    entry.phase(), attributes.primary, attributes.weight,
                    dispatcher.localStartTime(entry.startedAt())));
        }
        dispatcher.membersListed(kind, listed);
    }

    @Override public void incrementCounter(String name) {
        dispatcher.counters.add("discovery." + name);
    }

    @Override public void log(String message) {
        dispatcher.log(message);
    }

    // ---- Lists ----

    /** The parts of an entry that the reconciler does not read. */
    private record Attributes(InetSocketAddress address, String zone, String machineType, int group, boolean primary,
            double weight) { }

    private void processList(Watch watch, JsonObject list) {
        ListUpdate update;
        try {
            update = parseList(list, false);
        } catch (IllegalStateException | ClassCastException | IllegalArgumentException
                | UnsupportedOperationException e) {
            rejectList(watch);
            return;
        }
        reconcilerNow().updateReceived(watch, update);
    }

    private void rejectList(Watch watch) {
        dispatcher.counters.add("discovery.unreadable");
        dispatcher.logOnce("discovery sent a list that cannot be parsed; keeping the previous list");
        reconcilerNow().failed(watch);
    }

    private ListUpdate parseList(JsonObject list, boolean cached) {
        JsonArray instances = list.getAsJsonArray("instances");
        if (instances == null) {
            throw new IllegalArgumentException("the member list has no field \"instances\"");
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonElement element : instances) {
            Entry entry = parseEntry(element.getAsJsonObject());
            if (entry != null) {
                entries.add(entry);
            }
        }
        return new ListUpdate(list.has("generation") ? list.get("generation").getAsLong() : -1,
                cached || list.has("reset") && list.get("reset").getAsBoolean(), entries);
    }

    private Entry parseEntry(JsonObject instance) {
        String id = stringOrEmpty(instance, "instanceId");
        if (id.isEmpty()) {
            throw new IllegalArgumentException("an entry of the member list has no field \"instanceId\"");
        }
        ListedMember.Phase phase = switch (stringOrEmpty(instance, "lifecycle")) {
            case "ready" -> ListedMember.Phase.UP;
            case "draining" -> ListedMember.Phase.DRAINING;
            case "gone" -> ListedMember.Phase.GONE;
            default -> null;
        };
        if (phase == null) {
            dispatcher.logOnce("discovery sent an entry with an unknown lifecycle; ignoring the entry");
            return null;
        }
        long startedAt = instance.has("startedAtMs") ? instance.get("startedAtMs").getAsLong() * 1_000_000 : 0;
        return new Entry(id, phase, startedAt, new Attributes(
                instance.has("hostPort") ? Configuration.address(stringOrEmpty(instance, "hostPort")) : null,
                stringOrEmpty(instance, "zone"), stringOrEmpty(instance, "machineType"),
                instance.has("cell") ? instance.get("cell").getAsInt() : -1,
                stringOrEmpty(instance, "role").equals("leader"),
                instance.has("weight") ? instance.get("weight").getAsDouble() : 1));
    }

    private static String stringOrEmpty(JsonObject object, String name) {
        JsonElement value = object.get(name);
        return value == null || value.isJsonNull() ? "" : value.getAsString();
    }

    /** The connection of one watch. The agent answers with a chunked body of member lists and empty lines. */
    private final class WatchHandler extends ChannelInboundHandlerAdapter implements ListAssembler.Listener {
        private final Watch watch;
        private final ListAssembler lists = new ListAssembler(MAX_LIST_BYTES, this);
        private Channel channel;
        private ByteBuf received;

        WatchHandler(Watch watch) {
            this.watch = watch;
        }

        @Override public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            if (!watch.isOpen()) {
                ctx.close(); // the watch was closed while its connection was being opened
                return;
            }
            long since = reconciler.generation();
            InetSocketAddress address = (InetSocketAddress) watch.address;
            String path = "/discovery/hosts?follow=1" + (since < 0 ? "" : "&since=" + since);
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            ctx.writeAndFlush(request);
            received = ctx.alloc().buffer();
            reconcilerNow().connected(watch);
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            dispatcher.workBegins();
            try {
                if (message instanceof HttpResponse response && response.status().code() != 200) {
                    dispatcher.counters.add("discovery.refused");
                    reconcilerNow().failed(watch);
                }
                if (message instanceof HttpContent content && watch.isOpen() && received != null) {
                    received.writeBytes(content.content());
                    processLines();
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void processLines() {
            for (int end = received.bytesBefore((byte) '\n'); end >= 0 && watch.isOpen();
                    end = received.bytesBefore((byte) '\n')) {
                String line = received.readCharSequence(end, StandardCharsets.UTF_8).toString();
                received.skipBytes(1);
                lists.addLine(line);
            }
            if (received.readableBytes() + lists.pendingCharacters() > MAX_LIST_BYTES) {
                dispatcher.logOnce(
                        "discovery sent a list longer than " + MAX_LIST_BYTES + " bytes; closing the connection");
                reconcilerNow().failed(watch);
            }
            received.discardSomeReadBytes();
        }

        @Override public void heartbeat() {
            reconcilerNow().heartbeatReceived(watch);
        }

        @Override public void list(JsonObject object) {
            processList(watch, object);
        }

        @Override public void malformed() {
            rejectList(watch);
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (received != null) {
                received.release();
                received = null;
            }
            reconcilerNow().failed(watch);
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
