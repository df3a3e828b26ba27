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
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import reedquay.core.Listed;

/** Follows the list of members: one watch that tells, and the one that is to take its place where there is need. */
final class Discovery {
    private static final long BEAT = 2_000_000_000; // an empty line comes that often while nothing changes
    private static final long SILENCE = 3 * BEAT;
    private static final long FIRST_WAIT = BEAT / 20; // doubles up to a beat while watches fail
    private static final int LONGEST_LINE = 4 << 20;

    private final Door door;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private InetSocketAddress address;
    private long generation = -1;
    private Watch watch; // the one that tells, until another has told
    private Watch next; // being opened, always to the present address
    private ScheduledFuture<?> opening;
    private long wait = FIRST_WAIT;
    private boolean heard;
    private boolean closed;

    Discovery(Door door, InetSocketAddress address, Bootstrap bootstrap, EventLoop loop) {
        this.door = door;
        this.address = address;
        this.bootstrap = bootstrap;
        this.loop = loop;
    }

    /** Whether discovery itself has told a list since the start. */
    boolean told() {
        return heard;
    }

    /** The list as this gateway last had it. */
    void remembered(JsonObject known) {
        take(known, true);
    }

    void open() {
        opening = null;
        if (closed || next != null) {
            return;
        }
        door.counters.add("discovery.watches");
        Watch made = new Watch(address);
        next = made;
        bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), made);
            }
        }).connect(address).addListener(f -> {
            if (!f.isSuccess()) {
                ended(made);
            }
        });
    }

    /**
     * The list comes from another address from now on. Guards the list we have: the old watch goes on until the new
     * one has told something, since the new address may be dead and the old one still has something to say.
     */
    void moveTo(InetSocketAddress where) {
        if (where.equals(address) || closed) {
            return;
        }
        door.counters.add("discovery.moves");
        address = where;
        wait = FIRST_WAIT;
        Watch dropped = next;
        next = null;
        if (dropped != null) {
            dropped.close();
        }
        if (opening != null) {
            opening.cancel(false);
            opening = null;
        }
        if (watch == null || !watch.address.equals(where)) {
            open();
        }
    }

    /** Opens the watch anew after a wait that grows while nothing comes, so that no storm arises. */
    private void ended(Watch gone) {
        watch = gone == watch ? null : watch;
        next = gone == next ? null : next;
        boolean served = next != null || watch != null && watch.address.equals(address);
        if (served || opening != null || closed) {
            return;
        }
        opening = loop.schedule(this::open, wait, TimeUnit.NANOSECONDS);
        wait = Math.min(2 * wait, BEAT);
    }

    /** The first that the new watch tells ends the old one: a late line of it can't undo what the new one says. */
    private void told(Watch by) {
        if (by == next) {
            Watch old = watch;
            watch = by;
            next = null;
            if (old != null) {
                old.close();
            }
        }
        wait = FIRST_WAIT; // only what can be read ends the growing waits, else nonsense would bring a storm
    }

    /** Guards against a watch that stays open and says nothing, not even its empty lines. */
    void sweep(long now) {
        for (Watch each : new Watch[] {watch, next}) {
            if (each != null && now - each.heardAt >= SILENCE) {
                door.counters.add("discovery.silent");
                each.close();
            }
        }
    }

    void close() {
        closed = true;
        for (Watch each : new Watch[] {watch, next}) {
            if (each != null) {
                each.close();
            }
        }
    }

    private void line(Watch from, String text) {
        try {
            if (!text.isBlank()) {
                take(JsonParser.parseString(text).getAsJsonObject(), false);
            }
            told(from);
        } catch (JsonParseException | IllegalStateException | ClassCastException | IllegalArgumentException
                | UnsupportedOperationException e) {
            door.counters.add("discovery.unreadable");
            door.logOnce("discovery sent a list that cannot be read; the last one stays");
            from.close();
        }
    }

    private void take(JsonObject list, boolean remembered) {
        JsonArray instances = list.getAsJsonArray("instances");
        boolean full = remembered || list.has("reset") && list.get("reset").getAsBoolean();
        long told = list.has("generation") ? list.get("generation").getAsLong() : generation;
        if (!full && told < generation) {
            door.counters.add("discovery.older"); // another address has told what came after it
            return;
        }
        List<Listed> entries = new ArrayList<>();
        List<Runnable> moves = new ArrayList<>();
        if (instances == null) {
            throw new IllegalArgumentException("a list without instances");
        }
        for (JsonElement element : instances) {
            Listed entry = entry(element.getAsJsonObject(), moves);
            if (entry != null) {
                entries.add(entry);
            }
        }
        generation = told;
        moves.forEach(Runnable::run);
        heard |= !remembered;
        door.counters.add("discovery.lists");
        door.listed(remembered ? Listed.ListKind.REMEMBERED : full ? Listed.ListKind.FULL
                : Listed.ListKind.CHANGES, entries);
    }

    private Listed entry(JsonObject e, List<Runnable> moves) {
        Pool pool = door.pool(e.get("instanceId").getAsString());
        Listed.Phase phase = switch (text(e, "lifecycle")) {
            case "ready" -> Listed.Phase.UP;
            case "draining" -> Listed.Phase.DRAINING;
            case "gone" -> Listed.Phase.GONE;
            default -> null;
        };
        if (phase == null) {
            door.logOnce("discovery names a lifecycle that is not known here; its entry is passed over");
            return null;
        }
        long started = e.has("startedAtMs") ? e.get("startedAtMs").getAsLong() * 1_000_000 : 0;
        if (e.has("hostPort")) {
            InetSocketAddress where = Configuration.address(text(e, "hostPort"));
            moves.add(() -> pool.located(where, started));
        }
        return new Listed(pool.member, text(e, "zone"), text(e, "machineType"),
                e.has("cell") ? e.get("cell").getAsInt() : -1, phase, text(e, "role").equals("leader"),
                e.has("weight") ? e.get("weight").getAsDouble() : 1, started);
    }

    private static String text(JsonObject object, String name) {
        JsonElement value = object.get(name);
        return value == null || value.isJsonNull() ? "" : value.getAsString();
    }

    /** One watch: a chunked answer of one JSON object a line. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        final InetSocketAddress address;
        long heardAt = door.clock.now();
        private Channel channel;
        private ByteBuf lines;

        Watch(InetSocketAddress address) {
            this.address = address;
        }

        private boolean wanted() {
            return this == watch || this == next;
        }

        @Override public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            String path = "/discovery/hosts?follow=1" + (generation < 0 ? "" : "&since=" + generation);
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            ctx.writeAndFlush(request);
            lines = ctx.alloc().buffer();
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (message instanceof HttpResponse response && response.status().code() != 200) {
                    door.counters.add("discovery.refused");
                    close();
                }
                if (message instanceof HttpContent content && wanted() && lines != null) {
                    heardAt = door.clock.now();
                    lines.writeBytes(content.content());
                    cut();
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void cut() {
            for (int end = lines.bytesBefore((byte) '\n'); end >= 0 && wanted();
                    end = lines.bytesBefore((byte) '\n')) {
                String text = lines.readCharSequence(end, StandardCharsets.UTF_8).toString();
                lines.skipBytes(1);
                line(this, text);
            }
            if (lines.readableBytes() > LONGEST_LINE) {
                door.logOnce("discovery sent a line beyond all measure");
                close();
            }
            lines.discardSomeReadBytes();
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
            ended(this);
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (lines != null) {
                lines.release();
                lines = null;
            }
            ended(this);
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
