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
import reedquay.core.Listed;

/** Follows the list of members: one watch at a time, opened again where it ends or falls silent. */
final class Discovery {
    private static final long BEAT = 2_000_000_000; // an empty line comes that often while nothing changes
    private static final long SILENCE = 3 * BEAT;
    private static final long FIRST_WAIT = BEAT / 20; // doubles up to a beat while watches fail
    private static final int LONGEST_LINE = 4 << 20;

    private final Door door;
    private final InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private long generation = -1;
    private Watch watch;
    private long wait = FIRST_WAIT;
    private boolean told;
    private boolean closed;

    Discovery(Door door, InetSocketAddress address, Bootstrap bootstrap, EventLoop loop) {
        this.door = door;
        this.address = address;
        this.bootstrap = bootstrap;
        this.loop = loop;
    }

    /** Whether discovery itself has told a list since the start. */
    boolean told() {
        return told;
    }

    /** The list as this gateway last had it. */
    void remembered(JsonObject known) {
        take(known, true);
    }

    void open() {
        if (closed) {
            return;
        }
        door.counters.add("discovery.watches");
        Watch next = new Watch();
        watch = next;
        bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), next);
            }
        }).connect(address).addListener(f -> {
            if (!f.isSuccess()) {
                again(next);
            }
        });
    }

    /** Opens the watch anew after a wait that grows while nothing comes, so that no storm arises. */
    private void again(Watch ended) {
        if (ended != watch || closed) {
            return;
        }
        watch = null;
        long delay = wait;
        wait = Math.min(2 * wait, BEAT);
        loop.schedule(this::open, delay, TimeUnit.NANOSECONDS);
    }

    /** Guards against a watch that stays open and says nothing, not even its empty lines. */
    void sweep(long now) {
        if (watch != null && now - watch.heardAt >= SILENCE) {
            door.counters.add("discovery.silent");
            watch.close();
        }
    }

    void close() {
        closed = true;
        if (watch != null) {
            watch.close();
        }
    }

    private void line(String text) {
        try {
            if (!text.isBlank()) {
                take(JsonParser.parseString(text).getAsJsonObject(), false);
            }
            wait = FIRST_WAIT; // only what can be read ends the growing waits, else nonsense would bring a storm
        } catch (JsonParseException | IllegalStateException | ClassCastException | IllegalArgumentException
                | UnsupportedOperationException e) {
            door.counters.add("discovery.unreadable");
            door.logOnce("discovery sent a list that cannot be read; the last one stays");
            watch.close();
        }
    }

    private void take(JsonObject list, boolean remembered) {
        JsonArray instances = list.getAsJsonArray("instances");
        boolean full = remembered || list.has("reset") && list.get("reset").getAsBoolean();
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
        generation = list.has("generation") ? list.get("generation").getAsLong() : generation;
        moves.forEach(Runnable::run);
        told |= !remembered;
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
        long heardAt = door.clock.now();
        private Channel channel;
        private ByteBuf lines;

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
                if (message instanceof HttpContent content && watch == this && lines != null) {
                    heardAt = door.clock.now();
                    lines.writeBytes(content.content());
                    cut();
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void cut() {
            for (int end = lines.bytesBefore((byte) '\n'); end >= 0 && watch == this;
                    end = lines.bytesBefore((byte) '\n')) {
                String text = lines.readCharSequence(end, StandardCharsets.UTF_8).toString();
                lines.skipBytes(1);
                line(text);
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
            again(this);
        }

        @Override public void channelInactive(ChannelHandlerContext ctx) {
            if (lines != null) {
                lines.release();
                lines = null;
            }
            again(this);
        }

        @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
