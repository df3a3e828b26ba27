import java.util.ArrayList;
import java.util.List;

/** A bad client sends the id of a request that another client has open. */
final class OpenId {
    public static void main(String[] args) {
        Kit.run(OpenId::run);
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
        one.workMillis = 150;
        two.workMillis = 150;
        three.workMillis = 150;
        List<String> served = new ArrayList<>();
        int failed = 0;
        Kit.Client usual = new Kit.Client(gateway.port, "usual");
        for (int round = 0; round < 10; round++) {
            String[] ids = new String[6];
            String[] texts = new String[ids.length];
            for (int i = 0; i < ids.length; i++) {
                ids[i] = Kit.newId();
                texts[i] = Kit.write(ids[i], "order", 1, 3000, "usual-" + round, "usual-" + i);
            }
            usual.send(texts);
            Kit.note("the usual client has sent " + String.join(" ", ids));
            Kit.sleep(50);
            if (Kit.TROUBLE) {
                try (Kit.Client bad = new Kit.Client(gateway.port, "bad")) {
                    String id = ids[4]; // taken, and not answered
                    Kit.Answer answer = bad.ask(Kit.write(id, "order", 1, 3000, "bad-" + round, "bad"), 3000);
                    Kit.note("the bad client with the open id " + id + ": " + answer);
                    if (answer.kind().equals("ok")) {
                        served.add(id);
                    }
                }
            }
            for (String id : ids) {
                Kit.Answer answer = usual.receive(5000);
                Kit.note("the usual client, " + id + ": " + answer);
                failed += answer.kind().equals("ok") ? 0 : 1;
            }
        }
        Kit.note(served.size() + " statements of the bad client were served: " + served + "; " + failed
                + " of the usual client were not");
        return served.isEmpty();
    }
}
