package reedquay.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Watches a listener: pauses accepting for a short time after an accept() that failed, for want of descriptors or
 * memory, and reports when the backlog is empty. Netty's own handler pauses for a second, longer than many deadlines.
 * Used on the listener's event loop.
 */
final class AcceptHandler extends ChannelInboundHandlerAdapter {
    static final long PAUSE_NANOS = 20_000_000;
    static final int MAX_ACCEPTS_PER_READ = 16; // Netty's default

    /** What the listener's owner does about its events. */
    interface Listener {
        void acceptFailed(Throwable cause);

        /** The pause after a failed accept is over. */
        void resumeAccepting();

        /** All connections that had been established are accepted. */
        void backlogEmptied();
    }

    private final Listener listener;
    private int accepted; // in the current read

    AcceptHandler(Listener listener) {
        this.listener = listener;
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        accepted++;
        ctx.fireChannelRead(message);
    }

    @Override public void channelReadComplete(ChannelHandlerContext ctx) {
        if (accepted < MAX_ACCEPTS_PER_READ && ctx.channel().config().isAutoRead()) {
            listener.backlogEmptied();
        }
        accepted = 0;
        ctx.fireChannelReadComplete();
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.channel().config().setAutoRead(false); // it would fail again at once, and keep the event loop busy
        ctx.executor().schedule(listener::resumeAccepting, PAUSE_NANOS, TimeUnit.NANOSECONDS);
        listener.acceptFailed(cause);
    }
}
