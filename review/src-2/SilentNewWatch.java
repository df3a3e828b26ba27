import java.util.List;

/** A new configuration moves discovery; the first watch there is silent. A database server begins to drain. */
final class SilentNewWatch {
    private static final long TOLD_AFTER_SIGHUP = 4000;
    private static final long GRACE = 500 + 50 + 150; // of the settings, of the protocol page, and for a hold-up

    public static void main(String[] args) {
        Kit.run(SilentNewWatch::run);
    }

    private static boolean run() throws Exception {
        Kit.Group group = new Kit.Group(1);
        Kit.Server one = new Kit.Server("s-one", group);
        Kit.Server two = new Kit.Server("s-two", group);
        Kit.Server three = new Kit.Server("s-three", group);
        group.primary = one;
        Kit.Registry registry = new Kit.Registry(40);
        Kit.Agent old = new Kit.Agent("A", registry);
        registry.change(Kit.entries(one, Kit.instance(one, "ready", 0, "leader"),
                two, Kit.instance(two, "ready", 0, "follower"), three, Kit.instance(three, "ready", 0, "follower")));
        Kit.Gateway gateway = new Kit.Gateway(Kit.usualSettings(), registry.list(-1, false), old.port()).start();
        gateway.awaitReady();
        Kit.Client client = new Kit.Client(gateway.port, "usual");
        int sent = 0;
        long start = Kit.at();
        long movedAt = Long.MAX_VALUE;
        boolean drained = false;
        while (Kit.at() < start + 12_000) {
            if (movedAt == Long.MAX_VALUE && Kit.at() >= start + 2000) {
                Kit.Agent next = new Kit.Agent("B", registry);
                next.silentWatches = Kit.TROUBLE ? 1 : 0;
                gateway.moveDiscovery(next.port());
                movedAt = Kit.at();
                old.leave();
            }
            if (!drained && movedAt != Long.MAX_VALUE && Kit.at() >= movedAt + 1800) {
                drained = true;
                registry.change(Kit.entries(three, Kit.instance(three, "draining", 0, "follower")));
                Kit.note("agent B has it: s-three drains");
            }
            String id = Kit.newId();
            Kit.note("read " + id + ": " + client.ask(Kit.read(id, "history", 1, 1000, "k" + sent++), 3000));
            Kit.sleep(30);
        }
        long limit = movedAt + TOLD_AFTER_SIGHUP + GRACE;
        long moved = movedAt;
        List<Kit.Arrival> late = three.arrivals.stream().filter(a -> a.firstByteAt() > limit).toList();
        late.forEach(a -> Kit.note("late: s-three received " + a.id() + " at " + a.firstByteAt() + " ms"
                + ", " + (a.firstByteAt() - moved) + " ms after SIGHUP"));
        if (three.arrivals.isEmpty()) {
            throw new Kit.CannotRun("s-three got nothing before it drained");
        }
        Kit.note(sent + " reads, " + late.size() + " sent to s-three more than " + (TOLD_AFTER_SIGHUP + GRACE)
                + " ms after SIGHUP");
        return late.isEmpty();
    }
}
