package reedquay.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Pauses accepting for a short time after an accept() that failed, for want of descriptors or memory. Netty's own
 * handler pauses for a second, longer than many deadlines. Used on the listener's event loop.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    static final long PAUSE_NANOS = 20_000_000;

    private final Consumer<Throwable> onFailure;
    private final Runnable resumeAccepting;

    /** onFailure: runs at each failed accept; resumeAccepting: runs after the pause. */
    AcceptFailureHandler(Consumer<Throwable> onFailure, Runnable resumeAccepting) {
        this.onFailure = onFailure;
        this.resumeAccepting = resumeAccepting;
    }

    @Override public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.channel().config().setAutoRead(false); // it would fail again at once, and keep the event loop busy
        ctx.executor().schedule(resumeAccepting, PAUSE_NANOS, TimeUnit.NANOSECONDS);
        onFailure.accept(cause);
    }
}
