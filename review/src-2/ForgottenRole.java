import java.util.ArrayList;
import java.util.List;

/** A former primary, known as a replica, crashes and comes back behind; then the primary drains. */
final class ForgottenRole {
    public static void main(String[] args) {
        Kit.run(ForgottenRole::run);
    }

    private static Kit.Client client;
    private static Kit.Gateway gateway;
    private static int writes;

    private static boolean run() throws Exception {
        Kit.Group group = new Kit.Group(1);
        Kit.Server morning = new Kit.Server("s-morning", group); // primary when the day began
        Kit.Server now = new Kit.Server("s-now", group); // primary now
        Kit.Server next = new Kit.Server("s-next", group);
        Kit.Server other = new Kit.Server("s-other", new Kit.Group(2));
        Kit.Server joining = new Kit.Server("s-joining", other.group);
        other.group.primary = other;
        group.primary = now;
        Kit.Registry registry = new Kit.Registry(40);
        Kit.Agent agent = new Kit.Agent("A", registry);
        registry.change(Kit.entries(morning, Kit.instance(morning, "ready", 0, "leader"),
                now, Kit.instance(now, "ready", 0, "follower"), next, Kit.instance(next, "ready", 0, "follower"),
                other, Kit.instance(other, "ready", 0, "leader")));
        String settings = Kit.settings("[" + Kit.grade("slots", 400, 1000, "free") + ","
                + Kit.grade("status", 750, 2500, "free") + "," + Kit.grade("pay", 1500, 3000, "single_shot") + "]",
                "[\"any\",\"fresh\",\"write\"]", "[0.0,0.0,0.0]", "1000.0");
        gateway = new Kit.Gateway(settings, null, agent.port()).start();
        gateway.awaitReady();
        client = new Kit.Client(gateway.port, "usual");
        List<String> stale = new ArrayList<>();
        // the gateway learns by answers who is primary, and that s-morning is not
        writeNow();
        for (int i = 0; i < 20; i++) {
            readFresh(stale, false);
            Kit.sleep(50);
        }
        if (morning.arrivals.isEmpty()) {
            throw new Kit.CannotRun("the gateway was not told by an answer that s-morning is a replica");
        }
        Kit.note("s-morning has answered as a replica: " + morning.arrivals.get(0).id());
        long crashedAt = Kit.at();
        if (Kit.TROUBLE) {
            morning.die();
            Kit.note("s-morning has died");
        }
        Kit.sleep(2500);
        if (Kit.TROUBLE) {
            registry.change(Kit.entries(morning, Kit.instance(morning, "gone", 0, "leader")));
        }
        Kit.sleepUntil(crashedAt + 8000);
        registry.change(Kit.entries(joining, Kit.instance(joining, "ready", Kit.nowMs(), "follower")));
        Kit.sleepUntil(crashedAt + 10_000);
        if (Kit.TROUBLE) {
            morning.restart();
            Kit.note("s-morning is up again, " + (Kit.nowMs() - morning.position()) + " ms behind");
        }
        Kit.sleepUntil(crashedAt + 11_500);
        if (Kit.TROUBLE) {
            registry.change(Kit.entries(morning, Kit.instance(morning, "ready", Kit.nowMs() - 1500, "leader")));
        }
        Kit.sleep(1000);
        writeNow(); // s-morning has not applied this
        Kit.sleep(500);
        readFresh(stale, true);
        registry.change(Kit.entries(now, Kit.instance(now, "draining", 0, "follower")));
        Kit.note("s-now drains");
        long drainedAt = Kit.at();
        while (Kit.at() < drainedAt + 4000) {
            if (Kit.at() >= drainedAt + 700 && group.primary == now) {
                group.primary = next;
                Kit.note("s-next is primary");
            }
            readFresh(stale, true);
            Kit.sleep(30);
        }
        Kit.note(stale.size() + " fresh reads were answered from data older than a commit that was answered before: "
                + stale);
        return stale.isEmpty();
    }

    private static void writeNow() throws Exception {
        String id = Kit.newId();
        Kit.Answer answer = client.ask(Kit.write(id, "pay", 1, 3000, "account", "v" + ++writes), 4000);
        Kit.note("write " + id + " of v" + writes + ": " + answer);
        if (!answer.kind().equals("ok")) {
            throw new Kit.CannotRun("a write was not served");
        }
    }

    private static void readFresh(List<String> stale, boolean judged) throws Exception {
        String id = Kit.newId();
        Kit.Answer answer = client.ask(Kit.read(id, "status", 1, 2500, "account"), 4000);
        boolean isStale = answer.kind().equals("ok") && !answer.value().equals("v" + writes);
        Kit.note("fresh read " + id + ": " + answer + (isStale ? ", though v" + writes + " is committed" : ""));
        if (isStale && judged) {
            stale.add(id);
        }
    }
}
