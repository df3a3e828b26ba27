import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Planned restarts (SIGTERM), while clients send some commands at once on the connections that they have. */
final class EndedInput {
    private static final int CLIENTS = 40;
    private static final int COMMANDS = 4; // sent at once
    private static final int LONGEST_PAUSE = 250;
    private static final String VALUE = "v".repeat(60 * 1024); // 60 KiB
    private static final long LENGTH = 95_000; // no restart begins in the last 10 s

    public static void main(String[] args) {
        Kit.run(EndedInput::run);
    }

    private static boolean run() throws Exception {
        Kit.Group group = new Kit.Group(1);
        Kit.Server one = new Kit.Server("s-one", group);
        Kit.Server two = new Kit.Server("s-two", group);
        Kit.Server three = new Kit.Server("s-three", group);
        group.primary = one;
        Kit.Registry registry = new Kit.Registry(40);
        Kit.Agent agent = new Kit.Agent("A", registry);
        registry.change(Kit.entries(one, Kit.instance(one, "ready", 0, "leader"),
                two, Kit.instance(two, "ready", 0, "follower"), three, Kit.instance(three, "ready", 0, "follower")));
        List<String> lost = new CopyOnWriteArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        int restarts = 0;
        while (lost.isEmpty() && Kit.at() < LENGTH - 10_000) {
            Kit.Gateway gateway = new Kit.Gateway(Kit.usualSettings(), null, agent.port()).start();
            gateway.awaitReady();
            long end = Kit.at() + (Kit.TROUBLE ? 20_000 : 6_000);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String name = "usual-" + restarts + "-" + i;
                clients.add(Kit.spawn(() -> sendOnAndOn(gateway.port, name, end, answered, lost)));
            }
            Kit.sleep(1500);
            if (Kit.TROUBLE) {
                gateway.signal("TERM");
            }
            for (Thread client : clients) {
                client.join();
            }
            restarts++;
            if (Kit.TROUBLE) {
                Kit.note("the gateway has ended with status " + gateway.process.waitFor());
            }
            gateway.process.destroyForcibly().waitFor();
        }
        Kit.note(restarts + " gateways, one after another; " + answered + " requests were answered; " + lost.size()
                + " were read and got no answer, since the gateway ended their connection: " + lost);
        return lost.isEmpty();
    }

    /** Sends some commands at once, reads their answers, waits, and goes on as long as the connection is open. */
    private static void sendOnAndOn(int port, String name, long end, AtomicInteger answered, List<String> lost) {
        int seen = 0;
        try (Kit.Client client = new Kit.Client(port, name)) {
            while (Kit.at() < end) {
                Kit.sleep(ThreadLocalRandom.current().nextInt(LONGEST_PAUSE));
                String[] ids = new String[COMMANDS];
                String[] texts = new String[COMMANDS];
                for (int i = 0; i < COMMANDS; i++) {
                    ids[i] = Kit.newId();
                    texts[i] = Kit.write(ids[i], "order", 1, 3000, name, VALUE);
                }
                client.send(texts);
                for (int i = 0; i < COMMANDS; i++) {
                    Kit.Answer answer = client.receive(5000);
                    boolean isLost = answer.kind().equals("none");
                    if (answer.kind().equals("closed")) {
                        // no reset: the gateway has read all that the client had written
                        isLost = client.endedInOrder() && seen > 0;
                        Kit.note(name + ": the connection has ended " + (client.endedInOrder() ? "in order" : "by a reset")
                                + " with " + (COMMANDS - i) + " of " + COMMANDS + " not answered"
                                + (isLost ? ", LOST from " + ids[i] : ""));
                    }
                    if (isLost) {
                        lost.addAll(List.of(ids).subList(i, COMMANDS));
                    }
                    if (!answer.kind().equals("ok") && !answer.kind().equals("refused")
                            && !answer.kind().equals("failed")) {
                        return;
                    }
                    Kit.note(name + " " + ids[i] + ": " + answer.kind() + (answer.code() == null ? "" : " " + answer.code()));
                    seen++;
                    answered.incrementAndGet();
                }
            }
        } catch (IOException e) {
            Kit.note(name + ": " + e + ", so not all was written");
        }
    }
}
