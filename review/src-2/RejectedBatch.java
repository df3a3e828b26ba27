import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients stop in the middle of a request and stay; a usual client sends some commands at once. */
final class RejectedBatch {
    private static final int BAD_CLIENTS = 250;
    private static final int SENT_OF_HALF = 60_000; // of a command of twice that length
    private static final int ROUNDS = 12;

    public static void main(String[] args) {
        Kit.run(RejectedBatch::run);
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
        Kit.Gateway gateway = new Kit.Gateway(Kit.usualSettings(), null, agent.port()).start();
        gateway.awaitReady();
        if (Kit.TROUBLE) {
            CountDownLatch connected = new CountDownLatch(BAD_CLIENTS);
            AtomicInteger turnedAway = new AtomicInteger();
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Kit.spawn(() -> stopInTheMiddle(gateway.port, connected, turnedAway));
            }
            connected.await();
            Kit.note(BAD_CLIENTS + " bad clients have sent the first " + SENT_OF_HALF + " bytes of a command");
            Kit.sleep(300);
        }
        String value = "\\x" + "ab".repeat(60 * 1024); // 60 KiB
        List<String> lost = new ArrayList<>();
        Kit.Client client = null;
        for (int round = 0; round < ROUNDS; round++) {
            if (client == null) {
                client = new Kit.Client(gateway.port, "usual");
                // a request first, so that none of those below is the first one on its connection
                Kit.note("first request: " + client.ask(Kit.read(Kit.newId(), "history", 1, 1200, "k"), 3000));
            }
            String[] ids = {Kit.newId(), Kit.newId(), Kit.newId(), Kit.newId()};
            client.send(Kit.write(ids[0], "order", 1, 3000, "k" + round, value), Kit.read(ids[1], "history", 1, 1200, "k"),
                    Kit.read(ids[2], "history", 1, 1200, "k"), Kit.write(ids[3], "order", 1, 3000, "k", "small"));
            Kit.note("round " + round + ": sent at once " + String.join(" ", ids));
            boolean ended = false;
            for (String id : ids) {
                Kit.Answer answer = ended ? null : client.receive(4000);
                Kit.note("    " + id + ": " + (answer == null ? "no answer, the connection has ended"
                        : answer.value() != null && answer.value().length() > 40 ? "ok, its value" : answer));
                if (answer == null || answer.kind().equals("closed") || answer.kind().equals("none")) {
                    ended = true;
                    // no reset: the gateway has read all that the client had written
                    if (client.endedInOrder()) {
                        lost.add(id);
                    }
                } else if (answer.fatal()) {
                    client.awaitEnd(4000);
                    ended = true;
                }
            }
            if (ended) {
                Kit.note("    the connection has ended " + (client.endedInOrder() ? "in order" : "by a reset"));
                client.close();
                client = null;
            }
            Kit.sleep(200);
        }
        Kit.note(lost.size() + " requests were read and got no answer, since the gateway ended their connection: " + lost);
        return lost.isEmpty();
    }

    private static void stopInTheMiddle(int port, CountDownLatch connected, AtomicInteger turnedAway) {
        byte[] command = Kit.query(Kit.write(Kit.newId(), "order", 1, 3000, "k", "\\x" + "ab".repeat(SENT_OF_HALF)));
        while (true) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.getOutputStream().write(Kit.startup("portal", "crm"));
                socket.getOutputStream().write(command, 0, SENT_OF_HALF);
                connected.countDown();
                socket.setSoTimeout(20_000);
                while (socket.getInputStream().read() >= 0) { } // it stays, and reads what it is sent
            } catch (IOException e) {
                // turned away
            }
            turnedAway.incrementAndGet();
            Kit.sleep(20);
        }
    }
}
