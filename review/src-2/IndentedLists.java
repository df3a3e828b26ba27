import java.util.ArrayList;
import java.util.List;

/** A database server drains, and discovery writes the change as indented JSON. */
final class IndentedLists {
    private static final long GRACE = 500 + 50 + 150; // of the settings, of the protocol page, and for a hold-up

    public static void main(String[] args) {
        Kit.run(IndentedLists::run);
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
        agent.indented = Kit.TROUBLE;
        Kit.Gateway gateway = new Kit.Gateway(Kit.usualSettings(), registry.list(-1, false), agent.port()).start();
        gateway.awaitReady();
        List<String> ends = new ArrayList<>();
        long[] drainedAt = {Long.MAX_VALUE};
        Kit.Client client = new Kit.Client(gateway.port, "usual");
        long start = Kit.at();
        int sent = 0;
        while (Kit.at() < start + 12_000) {
            if (drainedAt[0] == Long.MAX_VALUE && Kit.at() >= start + 2000) {
                registry.change(Kit.entries(three, Kit.instance(three, "draining", 0, "follower")));
                drainedAt[0] = Kit.at(); // the agent has written it, or has it for whoever asks
                Kit.note("told: s-three drains");
            }
            String id = Kit.newId();
            Kit.Answer answer = client.ask(Kit.read(id, "history", 1, 1000, "k" + sent++), 3000);
            ends.add(answer.kind());
            Kit.note("read " + id + ": " + answer);
            Kit.sleep(50);
        }
        List<Kit.Arrival> late = three.arrivals.stream().filter(a -> a.firstByteAt() > drainedAt[0] + GRACE).toList();
        late.forEach(a -> Kit.note("late: s-three received " + a.id() + " at " + a.firstByteAt() + " ms"
                + ", " + (a.firstByteAt() - drainedAt[0]) + " ms after the gateway was told"));
        if (three.arrivals.isEmpty()) {
            throw new Kit.CannotRun("s-three got nothing before it drained");
        }
        Kit.note(ends.size() + " reads, " + late.size() + " sent to s-three later than the grace allows; "
                + agent.watchesSeen + " watches were opened");
        return late.isEmpty();
    }
}
