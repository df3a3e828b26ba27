import java.io.IOException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;

/**
 * A second copy follows right behind some answers, and the gateway is held up for 0.13 s meanwhile. Each value is made
 * from the code that its statement names, so that a value served for another statement shows.
 */
public final class SecondCopy {
    private static final int CLIENTS = 8;
    private static final int WORK_MILLIS = 15;
    private static final long SECONDS = 80;
    private static final long HELD_UP_MILLIS = 130;
    private static final long INTERVAL_NANOS = 1_000_000_000;
    /** For the report: only the copies or only the hold-ups. */
    private static final String ONLY = System.getenv().getOrDefault("ONLY", "");

    private static volatile boolean over;
    private static volatile Kit.Signals signals;
    private static final AtomicLong lastTrouble = new AtomicLong();
    private static final AtomicInteger served = new AtomicInteger(), copies = new AtomicInteger(),
            foreign = new AtomicInteger(), errors = new AtomicInteger();

    private static final Map<String, AtomicInteger> inHand = new ConcurrentHashMap<>(); // statements, by server

    private SecondCopy() { }

    public static void main(String[] args) {
        Kit.main(SecondCopy::run);
    }

    private static String valueOf(String code) {
        return "value-of-" + code;
    }

    private static boolean run(Kit kit) throws Exception {
        Kit.Behaviour answers = (server, connection, arrival) -> {
            if (arrival.id() == null) {
                connection.answerProbe();
                return;
            }
            kit.note("%s received %s", server.name, arrival.id());
            inHand.computeIfAbsent(server.name, n -> new AtomicInteger()).incrementAndGet();
            Kit.sleep(WORK_MILLIS);
            inHand.get(server.name).decrementAndGet();
            answer(kit, connection, arrival);
        };
        for (String name : new String[] {"one", "two", "three"}) {
            kit.new Server(name, 1, name.equals("one"), answers).handshakeMillis = 10;
        }
        Kit.Agent agent = kit.new Agent();
        int port = kit.freePort();
        Process gateway = kit.startGateway(kit.writeConfig("config.json",
                kit.config(port, agent.address(), 192, 1024, null, kit.exampleSettings())), "n1");
        kit.awaitReady(port);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Kit.daemon("client", () -> client(kit, port, number));
        }
        Kit.sleep(2000);
        signals = kit.new Signals(gateway.pid());
        for (int second = 0; second < SECONDS && foreign.get() == 0; second++) {
            Kit.sleep(1000);
        }
        over = true;
        signals.send("CONT");
        Kit.sleep(1500);
        kit.noteCounters(port);
        kit.say("values served %s, other answers %s, second copies %s, values of another statement %s", served, errors,
                copies, foreign);
        if (!gateway.isAlive() || served.get() == 0) {
            throw new IllegalStateException("the gateway did not serve");
        }
        return foreign.get() == 0;
    }

    /** Writes an answer; at intervals a second copy right behind it, and the gateway stands still around that. */
    private static void answer(Kit kit, Kit.Connection connection, Kit.Arrival arrival) throws IOException {
        Matcher quoted = Kit.QUOTED.matcher(arrival.statement());
        if (!quoted.find()) {
            connection.write(new Kit.Out().error("08P01").ready());
            return;
        }
        Kit.Out answer = connection.positioned(new Kit.Out().row(valueOf(quoted.group(1)))).ready();
        long now = System.nanoTime();
        long last = lastTrouble.get();
        // a moment at which this server is done and another one is at work
        boolean others = inHand.values().stream().mapToInt(AtomicInteger::get).sum() > 0;
        boolean trouble = Kit.TROUBLE && signals != null && now - last > INTERVAL_NANOS
                && inHand.get(connection.server.name).get() == 0 && others
                && lastTrouble.compareAndSet(last, now);
        connection.write(answer);
        if (!trouble) {
            return;
        }
        long written = System.nanoTime();
        if (!ONLY.equals("copies")) {
            while (System.nanoTime() < written + 300_000) { // the gateway reads the answer
                Thread.onSpinWait();
            }
            signals.send("STOP");
        }
        while (System.nanoTime() < written + 1_000_000) {
            Thread.onSpinWait();
        }
        // right behind, as far as one way takes; a copy follows only when nothing else waits on the connection
        if (!ONLY.equals("holds") && connection.in.available() == 0) {
            connection.write(answer);
            copies.incrementAndGet();
            kit.note("%s wrote a second copy of the answer to %s, %d us after the first", connection.server.name,
                    arrival.id(), (System.nanoTime() - written) / 1000);
        }
        if (!ONLY.equals("copies")) {
            Kit.sleep(HELD_UP_MILLIS);
            signals.send("CONT");
            kit.note("the gateway was held up for %d ms", (System.nanoTime() - written) / 1_000_000);
        }
    }

    private static void check(Kit kit, int number, String id, Kit.Answer answer) {
        kit.note("client %d: %s answered %s %s", number, id, answer.kind(), answer.text());
        if (answer.kind() != 'D') {
            errors.incrementAndGet();
        } else if (answer.text().equals(valueOf("c" + id))) {
            served.incrementAndGet();
        } else {
            foreign.incrementAndGet();
            kit.say("FOREIGN: %s was served %s", id, answer.text());
        }
    }

    private static void client(Kit kit, int port, int number) {
        SplittableRandom random = new SplittableRandom(number);
        while (!over) {
            try (Kit.Client client = kit.new Client(port)) {
                client.socket.setSoTimeout(3000);
                while (!over) {
                    String id = Long.toHexString(kit.nextId.incrementAndGet());
                    client.sendQuery("/* id=" + id + ",c=history,t=acme,d=1200,cluster=1 */ SELECT data FROM facts"
                            + " WHERE code = 'c" + id + "'");
                    check(kit, number, id, client.read());
                    Kit.sleep(random.nextInt(60));
                }
            } catch (IOException e) {
                kit.note("client %d: %s", number, e);
            }
        }
    }
}
