package reedquay.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
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
import reedquay.members.Ledger;
import reedquay.members.Ledger.Entry;
import reedquay.members.Ledger.Source;
import reedquay.members.Ledger.Told;

/** Follows the list of members: reads what its sources tell and writes requests; members.Ledger decides. */
final class DiscoveryClient implements Ledger.Effects {
    private static final long BEAT = 2_000_000_000; // an empty line comes that often while nothing changes
    private static final int LONGEST_LINE = 4 << 20;

    private final Dispatcher door;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final Ledger ledger;

    DiscoveryClient(Dispatcher door, Bootstrap bootstrap, EventLoop loop) {
        this.door = door;
        this.bootstrap = bootstrap;
        this.loop = loop;
        ledger = new Ledger(BEAT, door.settings().rules().drainGrace(), this);
    }

    /** Whether discovery itself has told a list since the start. */
    boolean hasReceivedList() {
        return ledger.heard();
    }

    /** The list as this gateway last had it. */
    void restore(JsonObject known) {
        now().remembered(read(known, true));
    }

    /** The list comes from this address from now on. */
    void moveTo(InetSocketAddress where) {
        now().moveTo(where);
    }

    void closeSilentWatches() {
        now().sweep();
    }

    void close() {
        now().close();
    }

    /** A row a source: address, state, generations told and in force, milliseconds since it was heard. */
    List<String[]> statusRows() {
        List<String[]> rows = now().rows();
        rows.forEach(r -> r[4] = Long.toString(Long.parseLong(r[4]) / 1_000_000));
        return rows;
    }

    private Ledger now() {
        ledger.begin(door.clock.now());
        return ledger;
    }

    // ---- Effects of the ledger ----

    @Override public void open(Source source) {
        Watch made = new Watch(source);
        source.front = made;
        bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), made);
            }
        }).connect((InetSocketAddress) source.address).addListener(f -> {
            if (!f.isSuccess()) {
                now().broken(source);
            }
        });
    }

    @Override public void close(Source source) {
        ((Watch) source.front).close();
    }

    @Override public void openIn(long wait) {
        loop.schedule(() -> now().wake(), wait, TimeUnit.NANOSECONDS);
    }

    @Override public void inForce(ListKind kind, List<Entry> entries) {
        List<ListedMember> listed = new ArrayList<>();
        for (Entry entry : entries) {
            Rest rest = (Rest) entry.rest();
            Pool pool = door.pool(entry.id());
            if (rest.where != null) {
                pool.updateLocation(rest.where, entry.startedAt());
            }
            listed.add(new ListedMember(pool.member, rest.zone, rest.kind, rest.group, entry.phase(), rest.primary, rest.size,
                    entry.startedAt()));
        }
        door.membersListed(kind, listed);
    }

    @Override public void count(String what) {
        door.counters.add("discovery." + what);
    }

    @Override public void log(String line) {
        door.log(line);
    }

    // ---- Lines ----

    /** What the ledger does not read of an entry. */
    private record Rest(InetSocketAddress where, String zone, String kind, int group, boolean primary, double size) { }

    private void line(Source from, String text) {
        try {
            if (text.isBlank()) {
                now().beat(from);
            } else {
                now().told(from, read(JsonParser.parseString(text).getAsJsonObject(), false));
            }
        } catch (JsonParseException | IllegalStateException | ClassCastException | IllegalArgumentException
                | UnsupportedOperationException e) {
            door.counters.add("discovery.unreadable");
            door.logOnce("discovery sent a list that cannot be read; the last one stays");
            now().broken(from);
        }
    }

    private Told read(JsonObject list, boolean remembered) {
        JsonArray instances = list.getAsJsonArray("instances");
        if (instances == null) {
            throw new IllegalArgumentException("a list without instances");
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonElement element : instances) {
            Entry entry = entry(element.getAsJsonObject());
            if (entry != null) {
                entries.add(entry);
            }
        }
        return new Told(list.has("generation") ? list.get("generation").getAsLong() : -1,
                remembered || list.has("reset") && list.get("reset").getAsBoolean(), entries);
    }

    private Entry entry(JsonObject e) {
        String id = e.get("instanceId").getAsString();
        ListedMember.Phase phase = switch (text(e, "lifecycle")) {
            case "ready" -> ListedMember.Phase.UP;
            case "draining" -> ListedMember.Phase.DRAINING;
            case "gone" -> ListedMember.Phase.GONE;
            default -> null;
        };
        if (phase == null) {
            door.logOnce("discovery names a lifecycle that is not known here; its entry is passed over");
            return null;
        }
        long started = e.has("startedAtMs") ? e.get("startedAtMs").getAsLong() * 1_000_000 : 0;
        return new Entry(id, phase, started, new Rest(
                e.has("hostPort") ? Configuration.address(text(e, "hostPort")) : null, text(e, "zone"),
                text(e, "machineType"), e.has("cell") ? e.get("cell").getAsInt() : -1,
                text(e, "role").equals("leader"), e.has("weight") ? e.get("weight").getAsDouble() : 1));
    }

    private static String text(JsonObject object, String name) {
        JsonElement value = object.get(name);
        return value == null || value.isJsonNull() ? "" : value.getAsString();
    }

    /** One watch: a chunked answer of one JSON object a line. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final Source source;
        private Channel channel;
        private ByteBuf lines;

        Watch(Source source) {
            this.source = source;
        }

        @Override public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            if (!source.wanted()) {
                ctx.close(); // it was left while its connection came up
                return;
            }
            long since = ledger.since();
            InetSocketAddress address = (InetSocketAddress) source.address;
            String path = "/discovery/hosts?follow=1" + (since < 0 ? "" : "&since=" + since);
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            ctx.writeAndFlush(request);
            lines = ctx.alloc().buffer();
            now().up(source);
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (message instanceof HttpResponse response && response.status().code() != 200) {
                    door.counters.add("discovery.refused");
                    now().broken(source);
                }
                if (message instanceof HttpContent content && source.wanted() && lines != null) {
                    lines.writeBytes(content.content());
                    cut();
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void cut() {
            for (int end = lines.bytesBefore((byte) '\n'); end >= 0 && source.wanted();
                    end = lines.bytesBefore((byte) '\n')) {
                String text = lines.readCharSequence(end, StandardCharsets.UTF_8).toString();
                lines.skipBytes(1);
                line(source, text);
            }
            if (lines.readableBytes() > LONGEST_LINE) {
                door.logOnce("discovery sent a line beyond all measure");
                now().broken(source);
            }
            lines.discardSomeReadBytes();
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (lines != null) {
                lines.release();
                lines = null;
            }
            now().broken(source);
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
