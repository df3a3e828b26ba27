package reedquay.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** A discovery agent controlled by a test: accepts watches and sends the given lines to the one awaited last. */
final class ScriptedAgent implements AutoCloseable {
    private final ServerSocket listener;
    private final BlockingQueue<Socket> pendingWatches = new LinkedBlockingQueue<>();
    /** The HTTP request lines received, in order. */
    final List<String> requestLines = new CopyOnWriteArrayList<>();
    private Socket watch;

    ScriptedAgent() {
        try {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread acceptThread = new Thread(this::accept, "agent");
        acceptThread.setDaemon(true);
        acceptThread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                requestLines.add(in.readLine());
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) { }
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                pendingWatches.add(socket);
            }
        } catch (IOException e) {
            return; // the listener was closed
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Waits for the next watch, which gets what is sent from now on. */
    ScriptedAgent awaitWatch() throws InterruptedException {
        watch = pendingWatches.take();
        return this;
    }

    /** Sends one line, each byte in its own chunk and write. */
    void sendBytewise(String line) throws IOException {
        OutputStream out = watch.getOutputStream();
        for (byte b : (line + "\n").getBytes(StandardCharsets.UTF_8)) {
            out.write(new byte[] {'1', '\r', '\n', b, '\r', '\n'});
        }
        out.flush();
    }

    /** Sends one line in one chunk and one write. */
    void sendAtOnce(String line) throws IOException {
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] chunkHeader = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] chunk = new byte[chunkHeader.length + bytes.length + 2];
        System.arraycopy(chunkHeader, 0, chunk, 0, chunkHeader.length);
        System.arraycopy(bytes, 0, chunk, chunkHeader.length, bytes.length);
        chunk[chunk.length - 2] = '\r';
        chunk[chunk.length - 1] = '\n';
        watch.getOutputStream().write(chunk);
    }

    void endWatch() throws IOException {
        watch.close();
    }

    @Override public void close() throws IOException {
        listener.close();
        if (watch != null) {
            watch.close();
        }
        for (Socket socket : pendingWatches) {
            socket.close();
        }
    }
}
