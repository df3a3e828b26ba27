package reedquay.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import reedquay.pg.Frame;
import reedquay.pg.Messages;

/** A blocking client; it gives answers as a short text: message types in order, values, SQLSTATEs and details. */
class BlockingClient implements AutoCloseable {
    final Socket socket;
    final DataInputStream in;

    BlockingClient(InetSocketAddress address) throws IOException {
        this(address, 0);
    }

    /** A client with a small receive buffer, so that a gateway soon waits for it to read; 0 for the system's size. */
    BlockingClient(InetSocketAddress address, int receiveBufferBytes) throws IOException {
        socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(address);
        in = new DataInputStream(socket.getInputStream());
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
    }

    void send(ByteBuf bytes) throws IOException {
        socket.getOutputStream().write(ByteBufUtil.getBytes(bytes));
        bytes.release();
    }

    BlockingClient startup() throws IOException {
        send(Messages.startupMessage(Unpooled.buffer(), "portal", "crm"));
        assertTrue(readAnswer().endsWith("Z"));
        return this;
    }

    String ask(String sql) throws IOException {
        send(Messages.query(Unpooled.buffer(), sql));
        return readAnswer();
    }

    /** Reads up to ReadyForQuery; the text ends with "closed" where the connection ended instead. */
    String readAnswer() throws IOException {
        List<String> parts = new ArrayList<>();
        while (true) {
            int type = in.read();
            if (type < 0) {
                parts.add("closed");
                return String.join(" ", parts);
            }
            byte[] body = new byte[in.readInt() - 4];
            in.readFully(body);
            Frame frame = new Frame((byte) type, Unpooled.buffer().writeByte(type).writeInt(body.length + 4)
                    .writeBytes(body));
            if (type == 'D') {
                parts.add("D:" + frame.stringAt(6));
            } else if (type == 'E') {
                parts.add("E:" + frame.errorFields().get('C')
                        + (frame.errorFields().containsKey('D') ? ":" + frame.errorFields().get('D') : ""));
            } else if (type != 'R' && type != 'S' && type != 'K') {
                parts.add("" + (char) type);
            }
            frame.release();
            if (type == 'Z') {
                return String.join(" ", parts);
            }
        }
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}
