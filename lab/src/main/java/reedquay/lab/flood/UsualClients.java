package reedquay.lab.flood;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reedquay.pg.Messages;

/** Clients that send a read, wait for its answer, rest and send the next, each on a connection of its own. */
final class UsualClients {
    static final int DEADLINE_MILLIS = 1200;
    /** After this time past its deadline a request without an answer is lost: half a second, and the sockets' slack. */
    private static final int LOST_AFTER_MILLIS = 500 + 50;
    private static final int LATE_AFTER_MILLIS = 50;
    private static final int REST_MILLIS = 200;

    private final InetSocketAddress address;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong nextId = new AtomicLong(0x1000);
    private final Histogram latencyMicros = new ConcurrentHistogram(10_000_000, 3);
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger pushedBack = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    final AtomicInteger late = new AtomicInteger();
    final AtomicInteger lost = new AtomicInteger();
    /** Connections that ended without an answer to a request; its client sends it once more on a new one. */
    final AtomicInteger closed = new AtomicInteger();
    /** Requests whose second connection ended too. */
    final AtomicInteger closedTwice = new AtomicInteger();
    private volatile boolean over;

    UsualClients(InetSocketAddress address, int clients) {
        this.address = address;
        for (int i = 0; i < clients; i++) {
            int number = i;
            Thread thread = new Thread(() -> run(number), "usual-client");
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    int requests() {
        return served.get() + pushedBack.get() + failed.get() + lost.get() + closedTwice.get();
    }

    /** The latency in milliseconds below which this share of the answers came, in percent. */
    double latencyMillis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1000.0;
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(DEADLINE_MILLIS + 2 * LOST_AFTER_MILLIS);
        }
    }

    private void run(int number) {
        SplittableRandom random = new SplittableRandom(number);
        Socket socket = null;
        while (!over) {
            long id = nextId.incrementAndGet();
            for (int attempt = 0; attempt < 2; attempt++) {
                try {
                    socket = socket != null ? socket : connect();
                    request(socket, id);
                    break;
                } catch (SocketTimeoutException e) {
                    lost.incrementAndGet();
                    socket = close(socket);
                    break;
                } catch (IOException e) {
                    (attempt == 0 ? closed : closedTwice).incrementAndGet();
                    socket = close(socket);
                }
            }
            sleep(REST_MILLIS + random.nextInt(REST_MILLIS));
        }
        close(socket);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(address, DEADLINE_MILLIS + LOST_AFTER_MILLIS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(DEADLINE_MILLIS + LOST_AFTER_MILLIS);
        write(socket, Messages.startupMessage(Unpooled.buffer(), "portal", "crm"));
        return socket;
    }

    private static void write(Socket socket, ByteBuf message) throws IOException {
        socket.getOutputStream().write(ByteBufUtil.getBytes(message));
    }

    private void request(Socket socket, long id) throws IOException {
        write(socket, Messages.query(Unpooled.buffer(), "/* id=" + Long.toHexString(id) + ",c=history,t=acme,d="
                + DEADLINE_MILLIS + ",cluster=1 */ SELECT data FROM facts WHERE code = 'u" + id % 100 + "'"));
        long sentAt = System.nanoTime();
        String answer = readAnswer(socket);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        latencyMicros.recordValue(Math.min(10_000_000, (System.nanoTime() - sentAt) / 1000));
        late.addAndGet(millis > DEADLINE_MILLIS + LATE_AFTER_MILLIS ? 1 : 0);
        (answer.equals("value") ? served : answer.equals("53300") ? pushedBack : failed).incrementAndGet();
    }

    /** Reads up to the ReadyForQuery that follows a value or an error. */
    private static String readAnswer(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        String answer = "";
        while (true) {
            int type = in.read();
            if (type < 0) {
                throw new IOException("the connection ended");
            }
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'D') {
                answer = "value";
            } else if (type == 'E') {
                answer = new String(body, java.nio.charset.StandardCharsets.UTF_8).contains("C53300") ? "53300"
                        : "failed";
            } else if (type == 'Z' && !answer.isEmpty()) {
                return answer;
            }
        }
    }

    private static Socket close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            return null; // it is closed already
        }
        return null;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
