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
import reedquay.core.ListedMember;
import reedquay.core.LoadReport;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.Role;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.Stage;

/**
 * JMH benchmarks of admission control: the time of an RPC from arrival to answer without overload, with and without an
 * AdmissionController; and the time to serve and add one entry among a number of waiting flows, with FairScheduler and
 * with the JDK's maps and queues.
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

    /** Sends a call-out for each RPC at once and does nothing else. */
    private static final class ImmediateEngine implements RoutingEngine {
        private final RoutingActions actions;
        private final Member member = new Member("m");
        private long now;

        ImmediateEngine(RoutingActions actions) { this.actions = actions; }

        @Override public void beginBatch(long time) { now = time; }

        @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) { }

        @Override public void rpcArrived(Rpc rpc) {
            CallOut callOut = new CallOut(rpc, member, now);
            rpc.callOuts.add(callOut);
            actions.sendCallOut(callOut, 0);
        }

        @Override public void callOutEnded(CallOut callOut, Outcome outcome, long latency, boolean ended, long position,
                Role role, LoadReport report) { }

        @Override public void connectionReady(CallOut callOut) { }

        @Override public void probeEnded(Member probedMember, Outcome outcome, long latency, LoadReport report) { }

        @Override public void clientGone(Rpc rpc) { }

        @Override public void endBatch() { }
    }

    /** A front that ignores all actions. */
    private static final class NoOpFront extends Stage {
        NoOpFront() { super(null); }

        @Override public void sendCallOut(CallOut callOut, long limit) { }

        @Override public void pushBack(Rpc rpc, long retryAfter) { }

        @Override public void scheduleWakeUp(long delay) { }

        @Override public void requestMemberList() { }

        @Override public void log(String line) { }
    }

    /** One RPC and its answer without overload; the parameter door is NONE without admission control, DOOR with it. */
    @State(Scope.Thread)
    public static class Calm {
        @Param({"NONE", "DOOR"})
        public String door;
        private RoutingEngine engine;
        private long now = 1_000_000 * MS;
        private long lastId;
        private final String[] clients = new String[1024];

        @Setup public void setUp() {
            Settings settings = new Settings(1, "a", 0, 1, 5 * MS, List.of(READ),
                    List.of(new Settings.Tenant("acme", 100)),
                    new Settings.Capabilities(true, false, true, true, true, 1000 * MS, 6, 250 * MS, false),
                    new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS, false),
                    new Settings.PositionSources(true, false, true, false, false), new Settings.Costs(0, 0, 0, 0, 0));
            NoOpFront front = new NoOpFront();
            if (door.equals("NONE")) {
                engine = new ImmediateEngine(front);
            } else {
                AdmissionController controller = new AdmissionController(settings,
                        new AdmissionSettings(1000, Map.of()), front);
                engine = controller.setNext(new ImmediateEngine(controller));
            }
            engine.beginBatch(now);
            engine.membersListed(ListedMember.ListKind.FULL, List.of(new ListedMember(new Member("m"), "a", "s", 1,
                    ListedMember.Phase.UP, true, 1, 0)));
            engine.endBatch();
            for (int i = 0; i < clients.length; i++) {
                clients[i] = "customer-" + i;
            }
        }

        Rpc serveOne() {
            now += 100_000;
            Rpc rpc = new Rpc(++lastId, 1, null, now + 1500 * MS, false, 0, "acme", READ);
            rpc.clientId = clients[(int) lastId & 1023];
            engine.beginBatch(now);
            engine.rpcArrived(rpc);
            engine.endBatch();
            rpc.ended = true;
            engine.beginBatch(now + 5 * MS);
            engine.callOutEnded(rpc.callOuts.get(0), Outcome.OK, 5 * MS, true, LoadReport.NO_POSITION, Role.UNKNOWN,
                    LoadReport.NONE);
            engine.endBatch();
            return rpc;
        }
    }

    /** The time of one RPC from arrival to answer without overload. */
    @Benchmark public Rpc calm(Calm calm) { return calm.serveOne(); }

    /** A number of waiting flows with one entry each; serves one entry and adds one. */
    @State(Scope.Thread)
    public static class Queued {
        @Param({"1000", "100000"})
        public int flows;
        private FairScheduler scheduler;
        private TrafficClass trafficClass;
        private final Map<Long, ArrayDeque<AdmissionEntry>> entriesByClient = new HashMap<>();
        private final TreeMap<Long, Long> clientByPosition = new TreeMap<>(); // by order of service
        private final Map<Long, Long> positionByClient = new HashMap<>();
        private long clientCounter;
        private long lastPosition;

        @Setup public void setUp() {
            scheduler = new FairScheduler(flows + 1, new double[] {1, 2});
            scheduler.setQuantum(1000);
            trafficClass = new TrafficClass(scheduler.newQueue(), new RetryReservations(1, 0, 0, 1).new Schedule(0), 1,
                    1);
            for (int i = 0; i < flows; i++) {
                scheduler.add(trafficClass.queue, newEntry(), 0);
                addToMaps(newEntry());
            }
        }

        private AdmissionEntry newEntry() {
            AdmissionEntry entry = new AdmissionEntry(new Rpc(0, 0, null, 0, false, 0, null, READ), trafficClass,
                    (int) (clientCounter & 1), 0);
            entry.clientKey = ++clientCounter * 0x9E3779B97F4A7C15L;
            entry.cost = 900;
            return entry;
        }

        private void addToMaps(AdmissionEntry entry) {
            entriesByClient.computeIfAbsent(entry.clientKey, k -> {
                clientByPosition.put(++lastPosition, k);
                positionByClient.put(k, lastPosition);
                return new ArrayDeque<>();
            }).addLast(entry);
        }

        AdmissionEntry serveAndRefill() {
            AdmissionEntry served = scheduler.poll(trafficClass.queue);
            scheduler.add(trafficClass.queue, newEntry(), 0);
            return served;
        }

        AdmissionEntry serveAndRefillMaps() {
            Map.Entry<Long, Long> first = clientByPosition.pollFirstEntry();
            ArrayDeque<AdmissionEntry> queue = entriesByClient.get(first.getValue());
            AdmissionEntry served = queue.pollFirst();
            if (queue.isEmpty()) {
                entriesByClient.remove(first.getValue());
                positionByClient.remove(first.getValue());
            } else {
                clientByPosition.put(++lastPosition, first.getValue());
            }
            addToMaps(newEntry());
            return served;
        }
    }

    /** The time to serve and add one entry, with FairScheduler. */
    @Benchmark public AdmissionEntry queued(Queued queued) { return queued.serveAndRefill(); }

    /** The time to serve and add one entry, with the JDK's maps and queues. */
    @Benchmark public AdmissionEntry queuedInMaps(Queued queued) { return queued.serveAndRefillMaps(); }
}
