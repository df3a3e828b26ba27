package reedquay.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads a socket ahead of the event loop, which may run timers that are due before it polls the sockets again: its wait
 * was interrupted, or a turn took long. A timer that concludes something from what has not arrived has to read the
 * socket first. Used on the event loop, and never while the same channel is being read.
 */
final class SocketInput {
    private SocketInput() { }

    /** Passes on what the socket has received by now, as the event loop does when the socket is readable. */
    static void readNow(Channel channel) {
        if (channel.isActive() && channel instanceof AbstractNioChannel nioChannel) {
            nioChannel.unsafe().read();
        }
    }
}
