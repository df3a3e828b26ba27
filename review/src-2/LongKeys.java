import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.ThreadLocalRandom;

/** Bad clients send commands with long keys, again and again; usual clients send what they always do. */
final class LongKeys {
    private static final int BAD_CLIENTS = 110;
    private static final int KEY_CHARACTERS = 180_000;
    private static final int USUAL_CLIENTS = 10;
    private static final long LENGTH = 22_000;
    private static final long SLACK = 500; // after its time an answer only earns nothing; later it is lost

    public static void main(String[] args) {
        Kit.run(LongKeys::run);
    }

    private static boolean run() throws Exception {
        Kit.Registry registry = new Kit.Registry(40);
        Kit.Agent agent = new Kit.Agent("A", registry);
        Map<String, String> members = new LinkedHashMap<>();
        for (int number = 1; number <= 2; number++) {
            Kit.Group group = new Kit.Group(number);
            for (String name : new String[] {"one", "two", "three"}) {
                Kit.Server server = new Kit.Server("s-" + name + "-" + number, group);
                server.workMillis = 50;
                group.primary = group.primary == null ? server : group.primary;
                members.put(server.name,
                        Kit.instance(server, "ready", 0, server.isPrimary() ? "leader" : "follower"));
            }
        }
        registry.change(members);
        Kit.Gateway gateway = new Kit.Gateway(Kit.usualSettings(), null, agent.port()).start();
        gateway.awaitReady();
        long end = Kit.at() + LENGTH;
        List<String> lost = new CopyOnWriteArrayList<>();
        AtomicInteger asked = new AtomicInteger();
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            String name = "usual-" + i;
            usual.add(Kit.spawn(() -> askOnAndOn(gateway.port, name, end, asked, lost)));
        }
        Kit.sleep(2000);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger turnedAway = new AtomicInteger();
        for (int i = 0; Kit.TROUBLE && i < BAD_CLIENTS; i++) {
            int number = i;
            Kit.spawn(() -> sendLongKeys(gateway, number, served, turnedAway));
        }
        Kit.note(Kit.TROUBLE ? BAD_CLIENTS + " bad clients begin" : "no bad clients");
        for (Thread thread : usual) {
            thread.join();
        }
        Kit.note("commands of bad clients: " + served + " served, " + turnedAway + " not; the gateway is "
                + (gateway.process.isAlive() ? "alive" : "gone with status " + gateway.process.exitValue()));
        Kit.note(lost.size() + " of " + asked + " requests of usual clients had no answer " + SLACK
                + " ms after their time: " + lost);
        return lost.isEmpty();
    }

    private static void askOnAndOn(int port, String name, long end, AtomicInteger asked, List<String> lost) {
        Kit.Client client = null;
        boolean first = true; // a first request on a connection that is closed unserved has failed and is not lost
        while (Kit.at() < end) {
            try {
                if (client == null) {
                    client = new Kit.Client(port, name);
                    first = true;
                }
                String id = Kit.newId();
                int group = 1 + ThreadLocalRandom.current().nextInt(2);
                boolean isWrite = ThreadLocalRandom.current().nextInt(4) == 0;
                long waits = isWrite ? 3000 : 1200;
                String key = "k" + ThreadLocalRandom.current().nextInt(50);
                long sentAt = Kit.at();
                Kit.Answer answer = client.ask(isWrite ? Kit.write(id, "order", group, waits, key, "v")
                        : Kit.read(id, "history", group, waits, key), waits + 2000);
                long took = Kit.at() - sentAt;
                asked.incrementAndGet();
                boolean isClosed = answer.kind().equals("closed");
                boolean isLost = isClosed ? !first && client.endedInOrder() : took > waits + SLACK;
                Kit.note(name + " " + id + ", waits " + waits + " ms: " + answer + " after " + took + " ms"
                        + (isLost ? " LOST" : ""));
                if (isLost) {
                    lost.add(id);
                }
                first = false;
                if (isClosed || answer.fatal() || answer.kind().equals("none")) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                client = null;
            }
            Kit.sleep(ThreadLocalRandom.current().nextInt(100));
        }
    }

    private static void sendLongKeys(Kit.Gateway gateway, int number, AtomicInteger served, AtomicInteger turnedAway) {
        String key = "\u0175" + "x".repeat(KEY_CHARACTERS);
        while (gateway.process.isAlive()) {
            try (Kit.Client client = new Kit.Client(gateway.port, "bad")) {
                while (true) {
                    int group = 1 + ThreadLocalRandom.current().nextInt(2);
                    Kit.Answer answer = client.ask(Kit.write(Kit.newId(), "order", group, 3000, key, "v")
                            .replace("t=acme", "t=bad-" + number % 20), 6000);
                    (answer.kind().equals("ok") ? served : turnedAway).incrementAndGet();
                    if (answer.fatal() || answer.kind().equals("closed") || answer.kind().equals("none")) {
                        break;
                    }
                }
            } catch (IOException e) {
                turnedAway.incrementAndGet();
                Kit.sleep(20);
            }
        }
    }
}
