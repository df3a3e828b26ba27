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
    private static final class ImmediateDecider implements RoutingEngine {
        private final RoutingActions effects;
        private final Member member = new Member("m");
        private long now;

        ImmediateDecider(RoutingActions effects) { this.effects = effects; }

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
    private static final class NoOpFront extends Stage {
        NoOpFront() { super(null); }

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
        private long lastId;
        private final String[] callers = new String[1024];

        @Setup public void setUp() {
            Settings settings = new Settings(1, "a", 0, 1, 5 * MS, List.of(READ),
                    List.of(new Settings.Tenant("acme", 100)),
                    new Settings.Capabilities(true, false, true, true, true, 1000 * MS, 6, 250 * MS, false),
                    new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS, false),
                    new Settings.PositionSources(true, false, true, false, false), new Settings.Costs(0, 0, 0, 0, 0));
            NoOpFront front = new NoOpFront();
            if (door.equals("NONE")) {
                decider = new ImmediateDecider(front);
            } else {
                AdmissionController turns = new AdmissionController(settings, new AdmissionSettings(1000, Map.of()), front);
                decider = turns.setNext(new ImmediateDecider(turns));
            }
            decider.beginBatch(now);
            decider.membersListed(ListedMember.ListKind.FULL, List.of(new ListedMember(new Member("m"), "a", "s", 1, ListedMember.Phase.UP, true,
                    1, 0)));
            decider.endBatch();
            for (int i = 0; i < callers.length; i++) {
                callers[i] = "customer-" + i;
            }
        }

        Rpc serveOne() {
            now += 100_000;
            Rpc rpc = new Rpc(++lastId, 1, null, now + 1500 * MS, false, 0, "acme", READ);
            rpc.clientId = callers[(int) lastId & 1023];
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

    @Benchmark public Rpc calm(Calm calm) { return calm.serveOne(); }

    /** So many flows wait; one is served and one more comes. */
    @State(Scope.Thread)
    public static class Queued {
        @Param({"1000", "100000"})
        public int flows;
        private FairScheduler scheduler;
        private TrafficClass trafficClass;
        private final Map<Long, ArrayDeque<AdmissionEntry>> entriesByClient = new HashMap<>();
        private final TreeMap<Long, Long> clientByPosition = new TreeMap<>(); // by when its turn is
        private final Map<Long, Long> positionByClient = new HashMap<>();
        private long clientCounter;
        private long lastPosition;

        @Setup public void setUp() {
            scheduler = new FairScheduler(flows + 1, new double[] {1, 2});
            scheduler.setQuantum(1000);
            trafficClass = new TrafficClass(scheduler.newQueue(), new RetryReservations(1, 0, 0, 1).new Schedule(0), 1, 1);
            for (int i = 0; i < flows; i++) {
                scheduler.add(trafficClass.queue, newEntry(), 0);
                addToMaps(newEntry());
            }
        }

        private AdmissionEntry newEntry() {
            AdmissionEntry turn = new AdmissionEntry(new Rpc(0, 0, null, 0, false, 0, null, READ), trafficClass, (int) (clientCounter & 1), 0);
            turn.clientKey = ++clientCounter * 0x9E3779B97F4A7C15L;
            turn.cost = 900;
            return turn;
        }

        private void addToMaps(AdmissionEntry turn) {
            entriesByClient.computeIfAbsent(turn.clientKey, k -> {
                clientByPosition.put(++lastPosition, k);
                positionByClient.put(k, lastPosition);
                return new ArrayDeque<>();
            }).addLast(turn);
        }

        AdmissionEntry serveAndRefill() {
            AdmissionEntry out = scheduler.poll(trafficClass.queue);
            scheduler.add(trafficClass.queue, newEntry(), 0);
            return out;
        }

        AdmissionEntry serveAndRefillMaps() {
            Map.Entry<Long, Long> first = clientByPosition.pollFirstEntry();
            ArrayDeque<AdmissionEntry> queue = entriesByClient.get(first.getValue());
            AdmissionEntry out = queue.pollFirst();
            if (queue.isEmpty()) {
                entriesByClient.remove(first.getValue());
                positionByClient.remove(first.getValue());
            } else {
                clientByPosition.put(++lastPosition, first.getValue());
            }
            addToMaps(newEntry());
            return out;
        }
    }

    @Benchmark public AdmissionEntry queued(Queued queued) { return queued.serveAndRefill(); }

    @Benchmark public AdmissionEntry queuedInMaps(Queued queued) { return queued.serveAndRefillMaps(); }
}
