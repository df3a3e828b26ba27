import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some hundreds of bad clients connect, send half a command at full speed and stay. Judged is whether every statement
 * of the usual clients gets its final answer in time.
 */
public final class HalfCommands {
    private static final int CLIENTS = 30;
    private static final int BAD_CLIENTS = 300;
    private static final int SAID_LENGTH = 262_144, SENT_BYTES = 250_000;
    private static final long STAY_MILLIS = 6000;
    private static final int DEADLINE = 1200;
    private static final int LOST_AFTER = 500 + 50; // after the client's time, with the slack of the rules on sockets

    private static final CountDownLatch allConnected = new CountDownLatch(BAD_CLIENTS);
    private static volatile boolean over;
    private static final AtomicInteger served = new AtomicInteger(), refused = new AtomicInteger(),
            failed = new AtomicInteger(), closed = new AtomicInteger(), lost = new AtomicInteger(),
            badTurnedAway = new AtomicInteger();

    private HalfCommands() { }

    public static void main(String[] args) {
        Kit.main(HalfCommands::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Kit.Behaviour behaviour = (server, connection, arrival) -> {
            if (arrival.id() == null) {
                connection.answerProbe();
                return;
            }
            kit.note("%s received %s", server.name, arrival.id());
            Kit.sleep(20);
            connection.write(connection.positioned(new Kit.Out().row("v" + arrival.id())).ready());
        };
        for (String name : new String[] {"one", "two", "three"}) {
            kit.new Server(name, 1, name.equals("one"), behaviour).handshakeMillis = 3;
        }
        Kit.Agent agent = kit.new Agent();
        int port = kit.freePort();
        Process gateway = kit.startGateway(kit.writeConfig("config.json",
                kit.config(port, agent.address(), 192, 1024, null, kit.exampleSettings())), "n1");
        kit.awaitReady(port);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Kit.daemon("client", () -> client(kit, port, number)));
        }
        Kit.sleep(4000);
        kit.noteCounters(port);
        if (lost.get() > 0 || served.get() == 0) {
            throw new IllegalStateException("the gateway did not serve before the disruption");
        }
        if (Kit.TROUBLE) {
            kit.say("%d bad clients connect", BAD_CLIENTS);
            for (int i = 0; i < BAD_CLIENTS; i++) {
                int number = i;
                Kit.daemon("bad", () -> badClient(kit, port, number));
            }
        }
        for (int second = 0; second < 20; second++) {
            Kit.sleep(1000);
            kit.say("served %s, refused %s, failed %s, closed unanswered %s, lost %s; bad clients turned away %s",
                    served, refused, failed, closed, lost, badTurnedAway);
        }
        over = true;
        for (Thread client : clients) {
            client.join(4000);
        }
        kit.noteCounters(port);
        if (!gateway.isAlive()) {
            kit.say("the gateway has ended");
            return false;
        }
        return lost.get() == 0;
    }

    /** Sends half a command and stays; when it is turned away, it does the same again. */
    private static void badClient(Kit kit, int port, int number) {
        long end = System.nanoTime() + STAY_MILLIS * 1_000_000;
        Kit.Client previous = null;
        while (System.nanoTime() < end) {
            Kit.Client client = null;
            try {
                client = kit.new Client(port);
                close(previous);
                allConnected.countDown();
                allConnected.await(2, TimeUnit.SECONDS);
                client.socket.setSoTimeout((int) STAY_MILLIS);
                client.out.writeByte('Q');
                client.out.writeInt(SAID_LENGTH);
                client.out.write(new byte[SENT_BYTES]);
                client.out.flush();
                while (client.in.read() >= 0) { // it reads what it is sent
                    continue;
                }
                kit.note("bad client %d was turned away", number);
                badTurnedAway.incrementAndGet();
            } catch (IOException | InterruptedException e) {
                kit.note("bad client %d: %s", number, e);
            }
            previous = client;
            Kit.sleep(100);
        }
        close(previous);
    }

    private static void client(Kit kit, int port, int number) {
        SplittableRandom random = new SplittableRandom(number);
        Kit.Client client = null;
        while (!over) {
            String id = Long.toHexString(kit.nextId.incrementAndGet());
            long sentAt = System.nanoTime();
            try {
                client = client != null ? client : kit.new Client(port);
                client.socket.setSoTimeout(DEADLINE + LOST_AFTER);
                client.sendQuery("/* id=" + id + ",c=history,t=acme,d=" + DEADLINE
                        + ",cluster=1 */ SELECT data FROM facts WHERE code = '" + id + "'");
                sentAt = System.nanoTime(); // its last byte is written
                Kit.Answer answer = client.read();
                kit.note("%s answered %s %s after %d ms", id, answer.kind(), answer.kind() == 'E' ? answer.text() : "",
                        (answer.at() - sentAt) / 1_000_000);
                if (answer.kind() == 'X') { // a close between requests; not judged
                    closed.incrementAndGet();
                    throw new IOException("closed");
                }
                (answer.kind() == 'D' ? served : answer.text().equals("53300") ? refused : failed).incrementAndGet();
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                kit.note("LOST %s: no answer %d ms after its last byte was written; its client waits %d ms", id,
                        (System.nanoTime() - sentAt) / 1_000_000, DEADLINE);
                client = close(client);
            } catch (IOException e) {
                kit.note("%s: %s", id, e);
                client = close(client);
            }
            Kit.sleep(80 + random.nextInt(80));
        }
        close(client);
    }

    private static Kit.Client close(Kit.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // closed already
        }
        return null;
    }
}
