package reedquay.fair;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import reedquay.core.CallOut;
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.ListedMember;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.LoadReport;
import reedquay.core.Role;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.Stage;

/**
 * What the door costs: an RPC in and out without pressure, against no door; one in and one out of so many flows that
 * wait, against maps and queues of the library's.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DoorCost {
    private static final long MS = 1_000_000;
    private static final Method READ = new Method("read", Method.Consistency.ANY, 0, 400 * MS, 1500 * MS, 1, 0,
            Method.RetrySafety.IDEMPOTENT, Method.DeduplicationScope.ALL, 0);

    /** Decisions that do next to nothing: an RPC is called out at once. */
    private static final class Straight implements RoutingEngine {
        private final RoutingActions effects;
        private final Member member = new Member("m");
        private long now;

        Straight(RoutingActions effects) { this.effects = effects; }

        @Override public void beginBatch(long time) { now = time; }

        @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) { }

        @Override public void rpcArrived(Rpc rpc) {
            CallOut call = new CallOut(rpc, member, now);
            rpc.callOuts.add(call);
            effects.sendCallOut(call, 0);
        }

        @Override public void callOutEnded(CallOut c, Outcome o, long took, boolean ended, long p, Role role, LoadReport r) { }

        @Override public void connectionReady(CallOut callOut) { }

        @Override public void probeEnded(Member m, Outcome outcome, long took, LoadReport report) { }

        @Override public void clientGone(Rpc rpc) { }

        @Override public void endBatch() { }
    }

    /** A front that does nothing. */
    private static final class Front extends Stage {
        Front() { super(null); }

        @Override public void sendCallOut(CallOut callOut, long limit) { }

        @Override public void pushBack(Rpc rpc, long after) { }

        @Override public void scheduleWakeUp(long delay) { }

        @Override public void requestMemberList() { }

        @Override public void log(String line) { }
    }

    /** One RPC in and its answer, without pressure. */
    @State(Scope.Thread)
    public static class Calm {
        @Param({"NONE", "DOOR"})
        public String door;
        private RoutingEngine decider;
        private long now = 1_000_000 * MS;
        private long id;
        private final String[] callers = new String[1024];

        @Setup public void setUp() {
            Settings settings = new Settings(1, "a", 0, 1, 5 * MS, List.of(READ),
                    List.of(new Settings.Tenant("acme", 100)),
                    new Settings.Capabilities(true, false, true, true, true, 1000 * MS, 6, 250 * MS, false),
                    new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS, false),
                    new Settings.PositionSources(true, false, true, false, false), new Settings.Costs(0, 0, 0, 0, 0));
            Front front = new Front();
            if (door.equals("NONE")) {
                decider = new Straight(front);
            } else {
                AdmissionController turns = new AdmissionController(settings, new AdmissionSettings(1000, Map.of()), front);
                decider = turns.setNext(new Straight(turns));
            }
            decider.beginBatch(now);
            decider.membersListed(ListedMember.ListKind.FULL, List.of(new ListedMember(new Member("m"), "a", "s", 1, ListedMember.Phase.UP, true,
                    1, 0)));
            decider.endBatch();
            for (int i = 0; i < callers.length; i++) {
                callers[i] = "customer-" + i;
            }
        }

        Rpc serve() {
            now += 100_000;
            Rpc rpc = new Rpc(++id, 1, null, now + 1500 * MS, false, 0, "acme", READ);
            rpc.clientId = callers[(int) id & 1023];
            decider.beginBatch(now);
            decider.rpcArrived(rpc);
            decider.endBatch();
            rpc.ended = true;
            decider.beginBatch(now + 5 * MS);
            decider.callOutEnded(rpc.callOuts.get(0), Outcome.OK, 5 * MS, true, LoadReport.NO_POSITION, Role.UNKNOWN, LoadReport.NONE);
            decider.endBatch();
            return rpc;
        }
    }

    @Benchmark public Rpc calm(Calm calm) { return calm.serve(); }

    /** So many flows wait; one is served and one more comes. */
    @State(Scope.Thread)
    public static class Queued {
        @Param({"1000", "100000"})
        public int flows;
        private Flows ours;
        private Ways way;
        private final Map<Long, ArrayDeque<Turn>> byClient = new HashMap<>();
        private final TreeMap<Long, Long> order = new TreeMap<>(); // by when its turn is
        private final Map<Long, Long> turnOf = new HashMap<>();
        private long next;
        private long turns;

        @Setup public void setUp() {
            ours = new Flows(flows + 1, new double[] {1, 2});
            ours.quantum(1000);
            way = new Ways(ours.lane(), new Promises(1, 0, 0, 1).new Calendar(0), 1, 1);
            for (int i = 0; i < flows; i++) {
                ours.add(way.lane, turn(), 0);
                plainAdd(turn());
            }
        }

        private Turn turn() {
            Turn turn = new Turn(new Rpc(0, 0, null, 0, false, 0, null, READ), way, (int) (next & 1), 0);
            turn.key = ++next * 0x9E3779B97F4A7C15L;
            turn.cost = 900;
            return turn;
        }

        private void plainAdd(Turn turn) {
            byClient.computeIfAbsent(turn.key, k -> {
                order.put(++turns, k);
                turnOf.put(k, turns);
                return new ArrayDeque<>();
            }).addLast(turn);
        }

        Turn ours() {
            Turn out = ours.next(way.lane);
            ours.add(way.lane, turn(), 0);
            return out;
        }

        Turn plain() {
            Map.Entry<Long, Long> first = order.pollFirstEntry();
            ArrayDeque<Turn> queue = byClient.get(first.getValue());
            Turn out = queue.pollFirst();
            if (queue.isEmpty()) {
                byClient.remove(first.getValue());
                turnOf.remove(first.getValue());
            } else {
                order.put(++turns, first.getValue());
            }
            plainAdd(turn());
            return out;
        }
    }

    @Benchmark public Turn queued(Queued queued) { return queued.ours(); }

    @Benchmark public Turn queuedInMaps(Queued queued) { return queued.plain(); }
}
