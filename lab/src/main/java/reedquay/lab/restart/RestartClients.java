package reedquay.lab.restart;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import reedquay.pg.Messages;

/**
 * Clients that send some requests at once, read their answers, rest and go on, on the same connection for as long as
 * it stays open, then on a new one.
 */
final class RestartClients {
    private static final int READ_DEADLINE_MILLIS = 1_200;
    private static final int WRITE_DEADLINE_MILLIS = 3_000;
    /** After this time past its deadline a request without an answer is lost: half a second, and the sockets' slack. */
    private static final int LOST_AFTER_MILLIS = 500 + 50;
    /** The slack of the time limits on sockets: a request that was sent so shortly before the end has crossed it. */
    private static final int CROSSING_MILLIS = 50;
    private static final int MAX_REST_MILLIS = 150;
    private static final int RETRY_CONNECT_MILLIS = 20;
    private static final int LARGE_VALUE_BYTES = 60 * 1024;

    private final RestartPlan plan;
    private final InetSocketAddress address;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong nextId = new AtomicLong(0x1000);
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    /** Requests whose connection had ended before they were all sent, so that their client sends them again. */
    final AtomicInteger crossed = new AtomicInteger();
    /** Requests whose connection ended right after they were sent. */
    final AtomicInteger metEnd = new AtomicInteger();
    /** Requests that had long been sent when their connection ended with no answer, or that got none in time. */
    final List<String> lost = new CopyOnWriteArrayList<>();
    private volatile boolean over;

    RestartClients(RestartPlan plan, InetSocketAddress address) {
        this.plan = plan;
        this.address = address;
        for (int i = 0; i < plan.clients(); i++) {
            int number = i;
            Thread thread = new Thread(() -> run(number), "client");
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    int requests() {
        return served.get() + refused.get() + failed.get() + crossed.get() + metEnd.get() + lost.size();
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(WRITE_DEADLINE_MILLIS + 2 * LOST_AFTER_MILLIS);
        }
    }

    private void run(int number) {
        SplittableRandom random = new SplittableRandom(number);
        while (!over) {
            try (SocketChannel channel = SocketChannel.open()) {
                channel.socket().connect(address, READ_DEADLINE_MILLIS);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                new Connection(channel).use(random);
            } catch (IOException e) {
                sleep(RETRY_CONNECT_MILLIS); // the gateway is gone, or has ended the connection
            }
        }
    }

    private List<String> appendBatch(ByteBuf batch) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < plan.commands(); i++) {
            String id = Long.toHexString(nextId.incrementAndGet());
            ids.add(id);
            Messages.query(batch, statement(id));
        }
        return ids;
    }

    private String statement(String id) {
        if (plan.command() == RestartPlan.Command.READ) {
            return "/* id=" + id + ",c=history,t=acme,d=" + READ_DEADLINE_MILLIS
                    + ",cluster=1 */ SELECT data FROM facts WHERE code = 'c'";
        }
        String value = plan.command() == RestartPlan.Command.LARGE_WRITE ? "v".repeat(LARGE_VALUE_BYTES) : "v";
        return "/* id=" + id + ",c=order,t=acme,d=" + WRITE_DEADLINE_MILLIS + ",k=" + id
                + ",cluster=1 */ INSERT INTO facts (code, data) VALUES ('c', '" + value + "') RETURNING data";
    }

    private static long millisSince(long time) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - time);
    }

    private void count(String sqlState) {
        boolean isRefusal = sqlState.equals("53300") || sqlState.equals("57P03");
        (sqlState.isEmpty() ? served : isRefusal ? refused : failed).incrementAndGet();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One connection of a client. */
    private final class Connection {
        private final SocketChannel channel;
        private final PushbackInputStream unbuffered;
        private final DataInputStream in;

        Connection(SocketChannel channel) throws IOException {
            this.channel = channel;
            unbuffered = new PushbackInputStream(channel.socket().getInputStream(), 1);
            in = new DataInputStream(new BufferedInputStream(unbuffered));
        }

        /** Sends batches until the connection ends; half of the clients send the first one with their startup. */
        void use(SplittableRandom random) throws IOException {
            ByteBuf batch = Messages.startupMessage(Unpooled.buffer(), "portal", "crm");
            boolean startsUp = random.nextBoolean();
            if (!startsUp) {
                write(batch);
                readUpToReady();
            }
            while (!over) {
                List<String> ids = appendBatch(batch);
                write(batch); // where it fails, the last request is not taken
                readAnswers(ids, startsUp);
                startsUp = false;
                sleep(random.nextInt(MAX_REST_MILLIS));
            }
        }

        private void write(ByteBuf bytes) throws IOException {
            bytes.readBytes(channel, bytes.readableBytes());
            bytes.clear();
        }

        /** Whether the connection's end has not arrived, without waiting for anything; no answer is being read. */
        private boolean isOpen() throws IOException {
            ByteBuffer first = ByteBuffer.allocate(1);
            channel.configureBlocking(false);
            int read = channel.read(first);
            channel.configureBlocking(true);
            if (read > 0) {
                unbuffered.unread(first.get(0));
            }
            return read >= 0;
        }

        private void readAnswers(List<String> ids, boolean startsUp) throws IOException {
            long sentAt = System.nanoTime();
            int deadline = plan.command() == RestartPlan.Command.READ ? READ_DEADLINE_MILLIS : WRITE_DEADLINE_MILLIS;
            int answered = 0;
            boolean endedLater = false;
            try {
                endedLater = isOpen();
                if (startsUp) {
                    readUpToReady();
                }
                for (; answered < ids.size(); answered++) {
                    long left = deadline + LOST_AFTER_MILLIS - millisSince(sentAt);
                    channel.socket().setSoTimeout((int) Math.max(1, left));
                    count(readUpToReady());
                }
            } catch (SocketTimeoutException e) {
                lost.add(ids.get(answered) + " got no answer within " + millisSince(sentAt) + " ms");
                throw e;
            } catch (IOException e) {
                ended(ids.subList(answered, ids.size()), millisSince(sentAt), endedLater, e instanceof EOFException);
                throw e;
            }
        }

        /** The connection ended; endedLater: it had not when all was sent, so that the gateway could read it before. */
        private void ended(List<String> unanswered, long afterMillis, boolean endedLater, boolean inOrder) {
            if (!endedLater) {
                crossed.addAndGet(unanswered.size());
            } else if (afterMillis < CROSSING_MILLIS) {
                metEnd.addAndGet(unanswered.size());
            } else {
                unanswered.forEach(id -> lost.add(id + " had been sent " + afterMillis
                        + " ms before its connection ended " + (inOrder ? "in order" : "by a reset")));
            }
        }

        /** Reads up to a ReadyForQuery; returns the SQLSTATE of an error before it, empty for none. */
        private String readUpToReady() throws IOException {
            String sqlState = "";
            while (true) {
                int type = in.readUnsignedByte();
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                if (type == 'E') {
                    for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
                        sqlState = field.startsWith("C") ? field.substring(1) : sqlState;
                    }
                } else if (type == 'Z') {
                    return sqlState;
                }
            }
        }
    }
}
