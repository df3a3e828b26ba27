import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of six database servers, the primary of cell 1, goes silent while clients write values of 64 KiB there; a replica
 * takes over. Judged is whether every statement, those of cell 2 among them, gets its final answer in time.
 */
public final class HungPrimary {
    private static final int WRITERS = 190, READERS = 60; // together under a third of 1,024 descriptors
    private static final int MEMORY_MB = 128;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int WRITE_DEADLINE = 3000, READ_DEADLINE = 1200;
    private static final int MAX_RETRIES = 3;
    private static final int LOST_AFTER = 500 + 50; // after the client's time, with the slack of the rules on sockets
    private static final long TAKEOVER_MILLIS = 2300 + 3400; // given up after up to 2.4 s, taken over up to 3.6 s later
    private static final long LIST_LATE_MILLIS = 2000;

    private static volatile boolean hung, over;
    private static final AtomicInteger served = new AtomicInteger(), refused = new AtomicInteger(),
            failed = new AtomicInteger(), closed = new AtomicInteger(), lost = new AtomicInteger(),
            lostHealthy = new AtomicInteger();

    private HungPrimary() { }

    public static void main(String[] args) {
        Kit.main(HungPrimary::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Kit.Behaviour behaviour = (server, connection, arrival) -> {
            if (hung && server.name.equals("one")) {
                while (!over) {
                    Kit.sleep(100); // silent: no reset, no answer
                }
                return;
            }
            if (arrival.id() == null) {
                connection.answerProbe();
                return;
            }
            boolean write = arrival.statement().contains("*/ INSERT");
            kit.note("%s received %s %s", server.name, write ? "write" : "read", arrival.id());
            if (write && !server.primary) {
                connection.write(connection.positioned(new Kit.Out().error("25006")).ready());
                return;
            }
            Kit.sleep(20);
            if (!hung || !server.name.equals("one")) {
                connection.write(connection.positioned(new Kit.Out().row("v" + arrival.id())).ready());
            }
        };
        Kit.Server one = kit.new Server("one", 1, true, behaviour);
        Kit.Server two = kit.new Server("two", 1, false, behaviour);
        kit.new Server("three", 1, false, behaviour);
        kit.new Server("four", 2, true, behaviour);
        kit.new Server("five", 2, false, behaviour);
        kit.new Server("six", 2, false, behaviour);
        kit.servers.values().forEach(s -> s.handshakeMillis = 3);
        Kit.Agent agent = kit.new Agent();
        int port = kit.freePort();
        Process gateway = kit.startGateway(kit.writeConfig("config.json",
                kit.config(port, agent.address(), MEMORY_MB, 1024, null, kit.exampleSettings())), "n1");
        kit.awaitReady(port);
        String value = "5a".repeat(VALUE_BYTES);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < WRITERS; i++) {
            int number = i;
            clients.add(Kit.daemon("writer", () -> client(kit, port, true, number, value)));
        }
        for (int i = 0; i < READERS; i++) {
            int number = i;
            clients.add(Kit.daemon("reader", () -> client(kit, port, false, number, value)));
        }
        Kit.sleep(9000);
        kit.noteCounters(port);
        if (lost.get() > 0) {
            throw new IllegalStateException("statements were lost before the disruption");
        }
        if (Kit.TROUBLE) {
            hung = true;
            kit.say("one is silent from now on");
            Kit.daemon("takeover", () -> {
                Kit.sleep(TAKEOVER_MILLIS);
                one.primary = false;
                two.primary = true;
                kit.say("two has taken over");
                Kit.sleep(LIST_LATE_MILLIS);
                agent.announce(one, two);
            });
        }
        for (int second = 0; second < 12; second++) {
            Kit.sleep(1000);
            kit.say("served %s, refused %s, failed %s, closed unanswered %s, lost %s, of these reads of cell 2 %s",
                    served, refused, failed, closed, lost, lostHealthy);
        }
        kit.noteCounters(port);
        over = true;
        for (Thread client : clients) {
            client.join(5000);
        }
        kit.noteCounters(port);
        kit.say("served %s, refused %s, failed %s, closed unanswered %s, lost %s, of these reads of cell 2 %s", served,
                refused, failed, closed, lost, lostHealthy);
        if (!gateway.isAlive()) {
            kit.say("the gateway has ended");
            return false;
        }
        return lost.get() == 0;
    }

    private static void client(Kit kit, int port, boolean write, int number, String value) {
        SplittableRandom random = new SplittableRandom(number * 2 + (write ? 1 : 0));
        Kit.sleep(random.nextInt(write ? 3000 : 300));
        Kit.Client client = null;
        int retries = 0;
        int cell = write ? 1 : 1 + number % 2;
        while (!over) {
            String id = Long.toHexString(kit.nextId.incrementAndGet());
            String what = (write ? "write " : "read ") + id;
            int deadline = write ? WRITE_DEADLINE : READ_DEADLINE;
            String common = "/* id=" + id + ",t=acme,cluster=" + cell + ",d=" + deadline
                    + (retries > 0 ? ",r=1" : "");
            String statement = write ? common + ",c=order,k=" + id + " */ INSERT INTO facts (code, data) VALUES ('" + id
                    + "', '\\x" + value + "') RETURNING data"
                    : common + ",c=history */ SELECT data FROM facts WHERE code = '" + id + "'";
            boolean pushedBack = false;
            long sentAt = System.nanoTime();
            try {
                client = client != null ? client : kit.new Client(port);
                client.socket.setSoTimeout(deadline + LOST_AFTER);
                client.sendQuery(statement);
                sentAt = System.nanoTime(); // its last byte is written
                Kit.Answer answer = client.read();
                long took = (answer.at() - sentAt) / 1_000_000;
                kit.note("%s to cell %d answered %s %s after %d ms", what, cell, answer.kind(),
                        answer.kind() == 'E' ? answer.text() : "", took);
                pushedBack = answer.kind() == 'E' && answer.text().equals("53300");
                if (answer.kind() == 'X') { // a close between requests; not judged
                    closed.incrementAndGet();
                    throw new IOException("closed");
                }
                (answer.kind() == 'D' ? served : pushedBack ? refused : failed).incrementAndGet();
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                lostHealthy.addAndGet(cell == 2 ? 1 : 0);
                kit.note("LOST %s to cell %d: no answer %d ms after its last byte was written; its client waits %d ms",
                        what, cell, (System.nanoTime() - sentAt) / 1_000_000, deadline);
                client = close(client);
            } catch (IOException e) {
                kit.note("%s to cell %d: %s", what, cell, e);
                client = close(client);
            }
            retries = pushedBack && retries < MAX_RETRIES ? retries + 1 : 0;
            Kit.sleep(retries > 0 ? 200 + random.nextInt(300) : write ? 2500 + random.nextInt(1000)
                    : 250 + random.nextInt(100));
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
