import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry of KNOWN-RED.txt, no case: a client sends hundreds of commands at once and goes; does a call-out begin more
 * than 0.1 s after that?
 */
public final class LeftClient {
    private static final int ROUNDS = 10, COMMANDS = 500;
    private static final int WRITE_MILLIS = 190; // 110 to 190 ms of work
    private static final long LEFT_GRACE_MILLIS = 100 + 50; // with the slack of the rules on sockets

    private LeftClient() { }

    public static void main(String[] args) {
        Kit.main(LeftClient::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Map<String, Long> leftAt = new ConcurrentHashMap<>();
        AtomicInteger late = new AtomicInteger(), received = new AtomicInteger();
        Kit.Behaviour behaviour = (server, connection, arrival) -> {
            if (arrival.id() == null) {
                connection.answerProbe();
                return;
            }
            if (!server.primary) {
                connection.write(connection.positioned(new Kit.Out().error("25006")).ready());
                return;
            }
            received.incrementAndGet();
            Long left = leftAt.get(arrival.id());
            long after = left == null ? Long.MIN_VALUE : (arrival.at() - left) / 1_000_000;
            kit.note("%s received %s%s", server.name, arrival.id(),
                    left == null ? "" : " " + after + " ms after its client had closed its connection");
            if (after > LEFT_GRACE_MILLIS) {
                late.incrementAndGet();
                kit.say("LATE: %s was sent %d ms after its client had closed its connection", arrival.id(), after);
            }
            Kit.sleep(WRITE_MILLIS);
            connection.write(connection.positioned(new Kit.Out().row("v")).ready());
        };
        for (String name : new String[] {"one", "two", "three"}) {
            kit.new Server(name, 1, name.equals("one"), behaviour);
        }
        Kit.Agent agent = kit.new Agent();
        int port = kit.freePort();
        Process gateway = kit.startGateway(kit.writeConfig("config.json",
                kit.config(port, agent.address(), 192, 1024, null, kit.exampleSettings())), "n1");
        kit.awaitReady(port);
        for (int round = 0; round < ROUNDS; round++) {
            Kit.Client client = kit.new Client(port);
            client.sendQuery("");
            client.read();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < COMMANDS; i++) {
                String id = Long.toHexString(kit.nextId.incrementAndGet());
                ids.add(id);
                client.writeQuery("/* id=" + id + ",c=order,t=acme,d=3000,k=" + id + ",cluster=1 */ INSERT INTO facts"
                        + " (code, data) VALUES ('c" + id + "', 'v') RETURNING data");
            }
            client.out.flush();
            kit.note("a client has sent %d commands", COMMANDS);
            Kit.sleep(10);
            if (Kit.TROUBLE) {
                ids.forEach(id -> leftAt.put(id, System.nanoTime()));
                client.close();
            } else {
                Kit.daemon("reader", () -> read(client));
            }
            Kit.sleep(1500);
        }
        kit.say("commands received by servers %s, of these late %s", received, late);
        if (!gateway.isAlive() || received.get() == 0) {
            throw new IllegalStateException("the gateway did not serve");
        }
        return late.get() == 0;
    }

    private static void read(Kit.Client client) {
        try {
            while (client.in.read() >= 0) {
                continue;
            }
        } catch (IOException e) {
            // the end of the run
        }
    }
}
