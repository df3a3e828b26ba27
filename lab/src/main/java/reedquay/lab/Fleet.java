package reedquay.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import reedquay.core.CallOut;
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.ListedMember;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Method.Consistency;
import reedquay.core.Outcome;
import reedquay.core.LoadReport;
import reedquay.core.Role;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.route.Router;

/**
 * Many gateways with true Routers before the same members, in simulated time: replicas that follow a log, members that
 * drain, are replaced and warm up, lists that come late, clients that come again. Every send and every answer is held
 * against the rules; what is broken is kept, not thrown.
 */
public final class Fleet {
    static final long MS = 1_000_000;
    static final long COLD_FOR = 8000 * MS;
    static final long WINDOW = 2000 * MS;
    static final long GRACE = 500 * MS;
    private static final double MULTIPLE = 4;
    private static final double COLD_SHARE = 0.25;
    private static final int SLOTS = 4;
    private static final long HANDED_OVER = 600 * MS; // after a primary begins to drain
    private static final long NAMED = 1500 * MS; // after that, by the list
    private static final long FAR_BEHIND = 900 * MS;

    /** What happens beside the traffic. */
    public record Troubles(boolean lags, boolean replaced, boolean restarts) { }

    private record Event(long at, long order, Runnable what) { }

    /** Of a method: first tries, those of them served in time, and all tries. */
    public static final class Count {
        public int asked;
        public int inTime;
        public int tries;

        public double served() {
            return asked == 0 ? 1 : inTime / (double) asked;
        }
    }

    /** A member: some slots and a queue; a primary's data is of now, a replica's some time old. */
    private static final class Server {
        final String id;
        final int group;
        final long started; // 0 for long ago
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        final ArrayDeque<Long> sends = new ArrayDeque<>(); // within the last cold window
        int busy;
        boolean primary;
        boolean hasBeen;
        boolean up = true;
        long ships; // how long the log takes to come here
        long stuckAt = Long.MAX_VALUE; // from then on it falls behind: a position never goes back

        Server(String id, int group, long started) {
            this.id = id;
            this.group = group;
            this.started = started;
        }

        long behind(long now) {
            return primary ? 0 : ships + Math.max(0, Math.min(FAR_BEHIND, now - stuckAt));
        }

        double share(long now) {
            double warm = started == 0 ? 1 : Math.min(1, (now - started) / (double) COLD_FOR);
            return COLD_SHARE + (1 - COLD_SHARE) * warm;
        }
    }

    /** One gateway with its own Router; what it does is held against the rules. */
    private final class Quiet implements RoutingActions {
        final RoutingEngine router;
        final Map<String, Member> members = new HashMap<>();
        final Map<Rpc, Long> since = new LinkedHashMap<>(); // those in hand, by when their clients first asked
        final Map<Rpc, Runnable> again = new HashMap<>();
        final Set<String> denied = new HashSet<>(); // told to be none by an answer
        final Set<CallOut> neverRan = new HashSet<>();
        final Map<String, Long> closed = new HashMap<>();
        boolean dead;
        long alarms; // a new one takes the place of the one before

        Quiet(Settings settings) {
            router = new Router(settings, this);
        }

        Member member(String id) {
            return members.computeIfAbsent(id, Member::new);
        }

        void turn(Runnable input) {
            if (!dead) {
                router.beginBatch(now);
                input.run();
                router.endBatch();
            }
        }

        void arrive(Rpc rpc, long first, Runnable later) {
            since.put(rpc, first);
            again.put(rpc, later);
            turn(() -> router.rpcArrived(rpc));
            at(rpc.deadline + GRACE, () -> broken(!dead && !rpc.ended, "1: no answer in time"));
        }

        @Override public void sendCallOut(CallOut call, long limit) {
            Server server = servers.get(call.member.id);
            Rpc rpc = call.rpc;
            broken(rpc.ended, "1: sent after the end");
            broken(now >= closed.getOrDefault(server.id, Long.MAX_VALUE - GRACE) + GRACE, "3: sent to what drains");
            boolean excused = server.primary || server.hasBeen && !denied.contains(server.id);
            long oldest = switch (rpc.method.consistency()) {
                case BOUNDED -> rpc.method.maxAge();
                case SESSION -> rpc.sessionTokenAge == 0 ? Long.MAX_VALUE : rpc.sessionTokenAge + now - arrivedAt(rpc);
                default -> Long.MAX_VALUE;
            };
            broken(!excused && server.behind(now) > oldest, "5: older than allowed");
            warm(server);
            long first = rpc.callOuts.stream().filter(c -> c != call && !neverRan.contains(c))
                    .mapToLong(c -> c.sentAt).min().orElse(Long.MAX_VALUE);
            boolean twice = switch (rpc.method.retrySafety()) {
                case IDEMPOTENT -> false;
                case TOKENED -> first < now && now - first >= rpc.method.deduplicationWindow();
                case NON_IDEMPOTENT -> first <= now;
            };
            broken(twice, "2: twice");
            if (rpc.method.consistency() == Consistency.WRITE && !server.primary) {
                at(now + 2 * MS, () -> turn(() -> answered(call, Outcome.MISS, server)));
            } else {
                work(server, () -> turn(() -> answered(call, Outcome.OK, server)));
            }
        }

        private long arrivedAt(Rpc rpc) {
            return rpc.deadline - rpc.method.deadline();
        }

        private void answered(CallOut call, Outcome outcome, Server server) {
            if (call.ended) {
                return; // it was cancelled
            }
            if (server.primary) {
                denied.remove(server.id);
            } else {
                denied.add(server.id);
            }
            if (outcome == Outcome.OK && !call.rpc.ended) {
                boolean inTime = now - since.get(call.rpc) < call.rpc.method.softDeadline();
                counts.get(call.rpc.method).inTime += inTime ? 1 : 0;
                end(call.rpc);
            }
            done(call, outcome, now - server.behind(now), server.primary ? Role.PRIMARY : Role.REPLICA);
        }

        private void done(CallOut call, Outcome outcome, long position, Role role) {
            call.ended = true;
            if (outcome.provesNeverRan) {
                neverRan.add(call);
            }
            router.callOutEnded(call, outcome, now - call.sentAt, call.rpc.ended, position, role, LoadReport.NONE);
        }

        private void end(Rpc rpc) {
            broken(rpc.ended, "1: two answers");
            rpc.ended = true;
            since.remove(rpc);
            neverRan.removeAll(rpc.callOuts);
        }

        @Override public void cancel(CallOut call) {
            at(now, () -> turn(() -> {
                if (!call.ended) {
                    done(call, Outcome.CANCELLED, LoadReport.NO_POSITION, Role.UNKNOWN);
                }
            }));
        }

        @Override public void pushBack(Rpc rpc, long after) {
            end(rpc);
            at(now + after, again.remove(rpc));
        }

        @Override public void abort(Rpc rpc) {
            end(rpc);
        }

        @Override public void probe(Member member) {
            Server server = servers.get(member.id);
            at(now + MS, () -> turn(() -> router.probeEnded(member, server.up ? Outcome.OK : Outcome.NO_CONNECTION, MS,
                    LoadReport.NONE)));
        }

        @Override public void scheduleWakeUp(long delay) {
            long mine = ++alarms;
            at(now + delay, () -> {
                if (mine == alarms) {
                    turn(() -> { });
                }
            });
        }

        @Override public void forgetMember(Member member) {
            members.remove(member.id);
        }

        @Override public void proceed(CallOut call) { } // no send waits for its connection here

        @Override public void closeIdleConnections(Member member) { }

        @Override public void requestMemberList() { }

        @Override public void log(String line) { }
    }

    private final SplittableRandom random;
    private final List<Method> methods;
    private final double[] parts;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Quiet> gates = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<Method, Count> counts = new LinkedHashMap<>();
    private final Map<String, Integer> broken = new TreeMap<>();
    private final int groups;
    private final int fleet; // gateways, as the settings name them
    private final long usual; // an RPC's mean work
    private long now = 1000_000 * MS;
    private long order;
    private long ids;

    /** played: how many of the gateways are; the others send nothing. */
    public Fleet(long seed, Mix mix, int groups, int members, int gateways, int played) {
        random = new SplittableRandom(seed);
        this.methods = mix.methods();
        this.parts = mix.parts();
        this.groups = groups;
        fleet = gateways;
        usual = (60 + random.nextInt(60)) * MS;
        methods.forEach(m -> counts.put(m, new Count()));
        for (int g = 0; g < groups; g++) {
            for (int i = 0; i < members; i++) {
                Server server = add("g" + g + "s" + i, g, 0);
                server.primary = server.hasBeen = i == 0;
            }
        }
        for (int i = 0; i < played; i++) {
            gates.add(begin(i));
        }
    }

    /** A deployment drawn by a seed. */
    public static Fleet drawn(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int gateways = 50 + random.nextInt(71);
        return new Fleet(seed, Mix.drawn(random), 2 + random.nextInt(3), 5 + random.nextInt(3), gateways, gateways);
    }

    /** Plays so many seconds of traffic, at that part of what the members can do, and lets all of it end. */
    public void run(int seconds, double load, Troubles troubles) {
        long start = now;
        traffic(start + seconds * 1000 * MS, load);
        if (troubles.lags()) { // a third of all replicas at the most
            at(start + seconds * 375 * MS, () -> servers.values().stream().filter(s -> random.nextInt(3) == 0)
                    .forEach(s -> s.stuckAt = now));
        }
        if (troubles.replaced()) { // every second one
            replaceAll(2, start + seconds * 250 * MS, seconds * 400 * MS);
        }
        if (troubles.restarts()) {
            for (int i = 0; i < gates.size(); i++) {
                int index = i;
                at(start + seconds * (312 + 400L * i / gates.size()) * MS, () -> restart(index));
            }
        }
        until(start + (seconds + 8) * 1000 * MS);
    }

    /** Every such member of those there now drains and is replaced by a new one, one after the other. */
    public void replaceAll(int every, long from, long within) {
        List<Server> all = servers.values().stream().filter(s -> s.up).toList();
        for (int i = 0; i < all.size(); i += every) {
            Server old = all.get(i);
            at(from + within * i / all.size(), () -> replace(old));
        }
    }

    public long now() {
        return now;
    }

    public void until(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.what.run();
        }
        now = end;
    }

    public Map<Method, Count> counts() {
        return counts;
    }

    /** Broken rules with how often; empty where all were kept. */
    public Map<String, Integer> broken() {
        return broken;
    }

    public int gateways() {
        return fleet;
    }

    /** Members that the first gateway still keeps. */
    public int kept() {
        return gates.get(0).members.size();
    }

    /** The part of the traffic that a method has. */
    public double part(Method method) {
        return parts[methods.indexOf(method)];
    }

    private void broken(boolean is, String rule) {
        if (is) {
            broken.merge(rule, 1, Integer::sum);
        }
    }

    private Server add(String id, int group, long started) {
        Server server = new Server(id, group, started);
        server.ships = (2 + random.nextInt(15)) * MS;
        servers.put(id, server);
        return server;
    }

    private Quiet begin(int index) {
        Quiet gate = new Quiet(new Settings(random.nextLong(), "here", index, fleet, 5 * MS, methods, List.of(),
                new Settings.Capabilities(true, false, true, true, true, 1000 * MS, 6, 250 * MS, false),
                new Settings.Rules(COLD_SHARE, COLD_FOR, MULTIPLE, WINDOW, GRACE, 20 * MS, 10_000 * MS, false),
                new Settings.PositionSources(true, false, false, false, false),
                new Settings.Costs(0.03, 0.08, 0.01, 0.01, 0.08)));
        gate.turn(() -> gate.router.membersListed(ListedMember.ListKind.CACHED,
                servers.values().stream().filter(s -> s.up).map(s -> entry(gate, s)).toList()));
        return gate;
    }

    private ListedMember entry(Quiet gate, Server s) {
        if (!s.up) {
            gate.closed.putIfAbsent(s.id, now);
        }
        return new ListedMember(gate.member(s.id), "here", "std", s.group, s.up ? ListedMember.Phase.UP : ListedMember.Phase.DRAINING,
                s.primary, 1, s.started);
    }

    private void at(long at, Runnable what) {
        events.add(new Event(at, order++, what));
    }

    /** Rule 4: what all gateways send within a window stays under the multiple of what the member can do. */
    private void warm(Server s) {
        if (s.started != 0 && now - s.started < COLD_FOR) {
            s.sends.addLast(now);
            s.sends.removeIf(t -> t <= now - WINDOW);
            broken(s.sends.size() > MULTIPLE * s.share(now) * SLOTS * WINDOW / usual, "4: cold and pushed over");
        }
    }

    private void work(Server s, Runnable answer) {
        Runnable begin = () -> {
            s.busy++;
            at(now + (long) (usual * (0.5 + random.nextDouble()) / s.share(now)), () -> {
                s.busy--;
                answer.run();
                if (!s.queue.isEmpty()) {
                    s.queue.pollFirst().run();
                }
            });
        };
        if (s.busy < SLOTS) {
            begin.run();
        } else {
            s.queue.addLast(begin);
        }
    }

    private void ask(Method method, int group, long first, int tries) {
        Quiet gate = gates.get(random.nextInt(gates.size()));
        Count count = counts.get(method);
        count.asked += tries == 0 ? 1 : 0;
        count.tries++;
        boolean follows = method.consistency() == Consistency.SESSION && random.nextInt(3) > 0;
        Rpc rpc = new Rpc(ids++, group, "s", now + method.deadline(), tries > 0,
                follows ? (100 + random.nextInt(900)) * MS : 0, null, method);
        gate.arrive(rpc, first, () -> {
            if (tries < 2) {
                ask(method, group, first, tries + 1);
            }
        });
    }

    private void traffic(long until, double load) {
        double perSecond = servers.size() * SLOTS * 1e9 / usual * load * gates.size() / fleet;
        for (long t = now; t < until; t += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9)) {
            double left = random.nextDouble();
            int i = 0;
            while (i < parts.length - 1 && left >= parts[i]) {
                left -= parts[i++];
            }
            Method method = methods.get(i);
            int group = random.nextInt(groups);
            at(t, () -> ask(method, group, now, 0));
        }
    }

    private void replace(Server old) {
        old.up = false;
        Server young = add(old.id + "'", old.group, now);
        tell(old, young);
        at(now + HANDED_OVER, () -> {
            if (old.primary) {
                old.primary = false;
                servers.values().stream().filter(s -> s.group == old.group && s.up).findFirst().ifPresent(next -> {
                    next.primary = next.hasBeen = true;
                    at(now + NAMED, () -> tell(next));
                });
            }
        });
        at(now + 2 * HANDED_OVER, () -> gates.forEach(g -> g.turn(() -> g.router.membersListed(ListedMember.ListKind.CHANGES,
                List.of(new ListedMember(g.member(old.id), "here", "std", old.group, ListedMember.Phase.GONE, false, 1, 0))))));
    }

    private void tell(Server... changed) {
        for (Quiet gate : gates) {
            at(now + random.nextInt(300) * MS, () -> gate.turn(() -> gate.router.membersListed(ListedMember.ListKind.CHANGES,
                    java.util.Arrays.stream(changed).map(s -> entry(gate, s)).toList())));
        }
    }

    private void restart(int index) {
        gates.get(index).dead = true;
        gates.set(index, begin(index));
    }
}
