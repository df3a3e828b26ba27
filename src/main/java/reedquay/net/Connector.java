package reedquay.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;
import java.util.function.Consumer;

/**
 * Opens the gateway's own connections. It reports each failure on the event loop, after the call has returned. A
 * Bootstrap reports a failed socket() on another thread, and without ever adding the handlers.
 */
final class Connector {
    private static final int CONNECT_TIMEOUT_MILLIS = 60_000; // never reached: callers apply shorter ones

    private final EventLoop loop;

    Connector(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Connects to the address, with the handlers on the channel. Where socket() fails the handlers are never added.
     * Called on the event loop.
     */
    void connect(InetSocketAddress address, Consumer<Throwable> onFailure, ChannelHandler... handlers) {
        NioSocketChannel channel;
        try {
            channel = new NioSocketChannel();
            channel.config().setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
        } catch (RuntimeException e) {
            loop.execute(() -> onFailure.accept(e));
            return;
        }
        channel.pipeline().addLast(handlers);
        ChannelFuture registration = loop.register(channel);
        loop.execute(() -> {
            ChannelFuture outcome = registration.isSuccess() ? channel.connect(address) : registration;
            outcome.addListener(connected -> {
                if (!connected.isSuccess()) {
                    onFailure.accept(connected.cause());
                }
            });
        });
    }

    /** Whether a connect failed on this machine (no descriptor, port or memory left), whatever became of the peer. */
    static boolean isLocalFailure(Throwable cause) {
        return !(cause instanceof ConnectException || cause instanceof NoRouteToHostException
                || cause instanceof ClosedChannelException);
    }
}
