package reedquay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;

/**
 * Reads a socket ahead of the event loop, which may run timers that are due before it polls the sockets again: its wait
 * was interrupted, or a turn took long. A timer that concludes something from what has not arrived has to read the
 * socket first. Used on the event loop, and never while the same channel is being read.
 */
final class SocketInput {
    /** What came of an attempt to end a connection. */
    enum EndResult {
        /** The socket held nothing, and its outgoing side has ended. */
        ENDED,
        /** The socket held input, which was passed on. */
        INPUT_READ,
        /** The peer had ended or broken the connection before, which is passed on as usual. */
        PEER_GONE
    }

    private static final int READ_BYTES = 2 * 1024;

    private SocketInput() { }

    /** Passes on what the socket has received by now, as the event loop does when the socket is readable. */
    static void readNow(Channel channel) {
        if (channel.isActive() && channel instanceof AbstractNioChannel nioChannel) {
            nioChannel.unsafe().read();
        }
    }

    /**
     * Ends the outgoing side of the connection, all of whose output is written, if the socket holds no input. Nothing
     * comes between the last read and the end, since a process that is held up there ends it over what arrives then.
     */
    static EndResult endIfEmpty(Channel channel) {
        SocketChannel socket = (SocketChannel) ((AbstractNioChannel) channel).unsafe().ch();
        ByteBuf input = channel.alloc().ioBuffer(READ_BYTES, READ_BYTES);
        int read;
        try {
            read = input.writeBytes(socket, READ_BYTES);
            if (read == 0) {
                socket.shutdownOutput();
            }
        } catch (IOException e) {
            read = -1;
        }
        if (read > 0) {
            channel.pipeline().fireChannelRead(input);
            channel.pipeline().fireChannelReadComplete();
            return EndResult.INPUT_READ;
        }
        input.release();
        if (read == 0) {
            return EndResult.ENDED;
        }
        readNow(channel);
        return EndResult.PEER_GONE;
    }
}
