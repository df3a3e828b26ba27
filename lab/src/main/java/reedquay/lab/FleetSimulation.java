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
import reedquay.core.ListedMember;
import reedquay.core.LoadReport;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Method.Consistency;
import reedquay.core.Outcome;
import reedquay.core.Role;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.route.Router;

/**
 * A discrete-event simulation of many gateways, each with a real Router, before the same members. Replicas apply the
 * primary's log with a delay, members drain, are replaced and start cold, member lists arrive late, and clients retry.
 * Every call-out and every answer is checked against the five rules; violations are counted, not thrown.
 */
public final class FleetSimulation {
    static final long NANOS_PER_MS = 1_000_000;
    static final long COLD_NANOS = 8000 * NANOS_PER_MS; // how long a new process is cold
    static final long COLD_WINDOW_NANOS = 2000 * NANOS_PER_MS; // in which rule 4 counts call-outs to a cold member
    static final long GRACE_NANOS = 500 * NANOS_PER_MS; // for a drain, and for an answer past its deadline
    private static final double COLD_MULTIPLE = 4; // of what a cold member can do; rule 4 allows no more
    private static final double COLD_SHARE = 0.25; // of the full speed, for a process that has just started
    private static final int SLOTS_PER_MEMBER = 4; // RPCs that a member serves at a time
    private static final long HANDOVER_NANOS = 600 * NANOS_PER_MS; // from a primary's drain to the handover
    private static final long ROLE_LISTED_NANOS = 1500 * NANOS_PER_MS; // from a handover to the list that shows it
    private static final long MAX_LAG_NANOS = 900 * NANOS_PER_MS;

    /** Disturbances of the fleet during the traffic. */
    public record Disturbances(boolean replicasLag, boolean membersReplaced, boolean gatewaysRestart) { }

    /** An event at a simulated time in nanoseconds; events of the same time run by their sequence numbers. */
    private record Event(long at, long sequence, Runnable action) { }

    /** The counts of one method: RPCs, those served within the soft deadline, and attempts, which include retries. */
    public static final class MethodCounts {
        public int rpcs;
        public int inTime;
        public int attempts;

        /** The share of RPCs that were served in time; 1 if there were none. */
        public double servedShare() {
            return rpcs == 0 ? 1 : inTime / (double) rpcs;
        }
    }

    /** A member with slots and a queue. A primary has current data; the data of a replica has some age. */
    private static final class SimulatedMember {
        final String id;
        final int group;
        final long startedAt; // 0 for a process that started long ago and is warm
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        final ArrayDeque<Long> recentSends = new ArrayDeque<>(); // within the last cold window
        int busy;
        boolean primary;
        boolean everPrimary;
        boolean up = true;
        long replicationDelay; // time from a commit on the primary until it is applied here
        /**
         * When replication stops; it stays stopped until the data is MAX_LAG_NANOS older than usual. The lag grows from
         * then on, since a sudden one would move the position back, and a position never decreases.
         */
        long lagsFrom = Long.MAX_VALUE;

        SimulatedMember(String id, int group, long startedAt) {
            this.id = id;
            this.group = group;
            this.startedAt = startedAt;
        }

        /** The age of its data in nanoseconds. */
        long dataAge(long now) {
            return primary ? 0 : replicationDelay + Math.max(0, Math.min(MAX_LAG_NANOS, now - lagsFrom));
        }

        /** Its share of the full speed: rises linearly while the process is cold. */
        double speed(long now) {
            double warmedUp = startedAt == 0 ? 1 : Math.min(1, (now - startedAt) / (double) COLD_NANOS);
            return COLD_SHARE + (1 - COLD_SHARE) * warmedUp;
        }
    }

    /** A gateway with its own Router, whose actions are checked against the rules. */
    private final class SimulatedGateway implements RoutingActions {
        final RoutingEngine router;
        final Map<String, Member> memberObjects = new HashMap<>();
        final Map<Rpc, Long> firstArrivals = new LinkedHashMap<>(); // RPCs in flight; arrival of the first attempt
        final Map<Rpc, Runnable> retries = new HashMap<>();
        final Set<String> reportedReplicas = new HashSet<>(); // members whose latest answer reported the role replica
        final Set<CallOut> neverRan = new HashSet<>(); // call-outs proven to have had no effect
        final Map<String, Long> drainingSince = new HashMap<>(); // when this gateway was notified, by member
        boolean stopped;
        long lastAlarm; // a new alarm replaces the previous one

        SimulatedGateway(Settings settings) {
            router = new Router(settings, this);
        }

        Member member(String id) {
            return memberObjects.computeIfAbsent(id, Member::new);
        }

        void runInput(Runnable input) {
            if (!stopped) {
                router.beginBatch(now);
                input.run();
                router.endBatch();
            }
        }

        void arrive(Rpc rpc, long firstArrival, Runnable retry) {
            firstArrivals.put(rpc, firstArrival);
            retries.put(rpc, retry);
            runInput(() -> router.rpcArrived(rpc));
            schedule(rpc.deadline + GRACE_NANOS, () -> checkRule(!stopped && !rpc.ended, "1: no answer in time"));
        }

        @Override public void sendCallOut(CallOut callOut, long limit) {
            SimulatedMember target = members.get(callOut.member.id);
            Rpc rpc = callOut.rpc;
            checkRule(rpc.ended, "1: call-out after the final answer");
            checkRule(now >= drainingSince.getOrDefault(target.id, Long.MAX_VALUE - GRACE_NANOS) + GRACE_NANOS,
                    "3: call-out to a draining member");
            boolean mayBePrimary = target.primary || target.everPrimary && !reportedReplicas.contains(target.id);
            long maxAge = switch (rpc.method.consistency()) {
                case BOUNDED -> rpc.method.maxAge();
                case SESSION -> rpc.sessionTokenAge == 0 ? Long.MAX_VALUE : rpc.sessionTokenAge + now - arrivedAt(rpc);
                default -> Long.MAX_VALUE;
            };
            checkRule(!mayBePrimary && target.dataAge(now) > maxAge, "5: data older than allowed");
            checkColdLimit(target);
            long firstSent = rpc.callOuts.stream().filter(other -> other != callOut && !neverRan.contains(other))
                    .mapToLong(other -> other.sentAt).min().orElse(Long.MAX_VALUE);
            boolean mayRepeatEffect = switch (rpc.method.retrySafety()) {
                case IDEMPOTENT -> false;
                case TOKENED -> firstSent < now && now - firstSent >= rpc.method.deduplicationWindow();
                case NON_IDEMPOTENT -> firstSent <= now;
            };
            checkRule(mayRepeatEffect, "2: effect may be repeated");
            if (rpc.method.consistency() == Consistency.WRITE && !target.primary) {
                schedule(now + 2 * NANOS_PER_MS, () -> runInput(() -> answered(callOut, Outcome.MISS, target)));
            } else {
                serve(target, () -> runInput(() -> answered(callOut, Outcome.OK, target)));
            }
        }

        private long arrivedAt(Rpc rpc) {
            return rpc.deadline - rpc.method.deadline();
        }

        private void answered(CallOut callOut, Outcome outcome, SimulatedMember target) {
            if (callOut.ended) {
                return; // cancelled
            }
            if (target.primary) {
                reportedReplicas.remove(target.id);
            } else {
                reportedReplicas.add(target.id);
            }
            if (outcome == Outcome.OK && !callOut.rpc.ended) {
                boolean inTime = now - firstArrivals.get(callOut.rpc) < callOut.rpc.method.softDeadline();
                counts.get(callOut.rpc.method).inTime += inTime ? 1 : 0;
                rpcAnswered(callOut.rpc);
            }
            callOutEnded(callOut, outcome, now - target.dataAge(now), target.primary ? Role.PRIMARY : Role.REPLICA);
        }

        private void callOutEnded(CallOut callOut, Outcome outcome, long position, Role role) {
            callOut.ended = true;
            if (outcome.provesNeverRan) {
                neverRan.add(callOut);
            }
            router.callOutEnded(callOut, outcome, now - callOut.sentAt, callOut.rpc.ended, position, role,
                    LoadReport.NONE);
        }

        private void rpcAnswered(Rpc rpc) {
            checkRule(rpc.ended, "1: two final answers");
            rpc.ended = true;
            firstArrivals.remove(rpc);
            neverRan.removeAll(rpc.callOuts);
        }

        @Override public void cancel(CallOut callOut) {
            schedule(now, () -> runInput(() -> {
                if (!callOut.ended) {
                    callOutEnded(callOut, Outcome.CANCELLED, LoadReport.NO_POSITION, Role.UNKNOWN);
                }
            }));
        }

        @Override public void pushBack(Rpc rpc, long retryAfter) {
            rpcAnswered(rpc);
            schedule(now + retryAfter, retries.remove(rpc));
        }

        @Override public void abort(Rpc rpc) {
            rpcAnswered(rpc);
        }

        @Override public void probe(Member member) {
            SimulatedMember target = members.get(member.id);
            schedule(now + NANOS_PER_MS, () -> runInput(() -> router.probeEnded(member,
                    target.up ? Outcome.OK : Outcome.NO_CONNECTION, NANOS_PER_MS, LoadReport.NONE)));
        }

        @Override public void scheduleWakeUp(long delay) {
            long alarm = ++lastAlarm;
            schedule(now + delay, () -> {
                if (alarm == lastAlarm) {
                    runInput(() -> { });
                }
            });
        }

        @Override public void forgetMember(Member member) {
            memberObjects.remove(member.id);
        }

        @Override public void proceed(CallOut callOut) { } // no call-out waits for a connection here

        @Override public void closeIdleConnections(Member member) { }

        @Override public void requestMemberList() { }

        @Override public void log(String message) { }
    }

    private final SplittableRandom random;
    private final List<Method> methods;
    private final double[] trafficShares;
    private final Map<String, SimulatedMember> members = new LinkedHashMap<>();
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final Map<Method, MethodCounts> counts = new LinkedHashMap<>();
    private final Map<String, Integer> violations = new TreeMap<>();
    private final int groups;
    private final int configuredGateways; // number of gateways in the settings
    private final long meanWork; // of an RPC, in nanoseconds at full speed
    private long now = 1000_000 * NANOS_PER_MS;
    private long nextSequence;
    private long nextRpcId;

    /** simulatedGateways: how many of the configured gateways are simulated; the others have no traffic. */
    public FleetSimulation(long seed, TrafficMix mix, int groups, int membersPerGroup, int configuredGateways,
            int simulatedGateways) {
        random = new SplittableRandom(seed);
        this.methods = mix.methods();
        this.trafficShares = mix.shares();
        this.groups = groups;
        this.configuredGateways = configuredGateways;
        meanWork = (60 + random.nextInt(60)) * NANOS_PER_MS;
        methods.forEach(method -> counts.put(method, new MethodCounts()));
        for (int group = 0; group < groups; group++) {
            for (int i = 0; i < membersPerGroup; i++) {
                SimulatedMember member = addMember("g" + group + "s" + i, group, 0);
                member.primary = member.everPrimary = i == 0;
            }
        }
        for (int i = 0; i < simulatedGateways; i++) {
            gateways.add(startGateway(i));
        }
    }

    /** A fleet whose size, mix and traffic are random by a seed. */
    public static FleetSimulation withRandomMix(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int gateways = 50 + random.nextInt(71);
        return new FleetSimulation(seed, TrafficMix.random(random), 2 + random.nextInt(3), 5 + random.nextInt(3),
                gateways, gateways);
    }

    /** Simulates traffic at a share of the members' capacity, then runs until all of it has ended. */
    public void run(int seconds, double load, Disturbances disturbances) {
        long start = now;
        scheduleTraffic(start + seconds * 1000 * NANOS_PER_MS, load);
        if (disturbances.replicasLag()) { // each replica with a probability of a third
            schedule(start + seconds * 375 * NANOS_PER_MS, () -> members.values().stream()
                    .filter(member -> random.nextInt(3) == 0).forEach(member -> member.lagsFrom = now));
        }
        if (disturbances.membersReplaced()) { // every second member
            replaceAll(2, start + seconds * 250 * NANOS_PER_MS, seconds * 400 * NANOS_PER_MS);
        }
        if (disturbances.gatewaysRestart()) {
            for (int i = 0; i < gateways.size(); i++) {
                int index = i;
                schedule(start + seconds * (312 + 400L * i / gateways.size()) * NANOS_PER_MS,
                        () -> restartGateway(index));
            }
        }
        runUntil(start + (seconds + 8) * 1000 * NANOS_PER_MS);
    }

    /**
     * Drains every n-th of the present members and replaces it by a new one, spread evenly over the duration; times in
     * nanoseconds.
     */
    public void replaceAll(int every, long from, long duration) {
        List<SimulatedMember> current = members.values().stream().filter(member -> member.up).toList();
        for (int i = 0; i < current.size(); i += every) {
            SimulatedMember old = current.get(i);
            schedule(from + duration * i / current.size(), () -> replace(old));
        }
    }

    /** The simulated time in nanoseconds. */
    public long now() {
        return now;
    }

    /** Runs all events up to that time. */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        now = end;
    }

    /** The counts of each method so far. */
    public Map<Method, MethodCounts> counts() {
        return counts;
    }

    /** The rules that were violated, by number and description, and how often; empty if none was. */
    public Map<String, Integer> violations() {
        return violations;
    }

    /** Number of gateways in the settings, whether simulated or not. */
    public int configuredGateways() {
        return configuredGateways;
    }

    /** Number of members for which the first gateway holds state. */
    public int membersKnownToFirstGateway() {
        return gateways.get(0).memberObjects.size();
    }

    /** A method's share of the traffic. */
    public double trafficShare(Method method) {
        return trafficShares[methods.indexOf(method)];
    }

    private void checkRule(boolean violated, String rule) {
        if (violated) {
            violations.merge(rule, 1, Integer::sum);
        }
    }

    private SimulatedMember addMember(String id, int group, long startedAt) {
        SimulatedMember member = new SimulatedMember(id, group, startedAt);
        member.replicationDelay = (2 + random.nextInt(15)) * NANOS_PER_MS;
        members.put(id, member);
        return member;
    }

    private SimulatedGateway startGateway(int index) {
        SimulatedGateway gateway = new SimulatedGateway(new Settings(random.nextLong(), "here", index,
                configuredGateways, 5 * NANOS_PER_MS, methods, List.of(),
                new Settings.Capabilities(true, false, true, true, true, 1000 * NANOS_PER_MS, 6, 250 * NANOS_PER_MS,
                        false),
                new Settings.Rules(COLD_SHARE, COLD_NANOS, COLD_MULTIPLE, COLD_WINDOW_NANOS, GRACE_NANOS,
                        20 * NANOS_PER_MS, 10_000 * NANOS_PER_MS, false),
                new Settings.PositionSources(true, false, false, false, false),
                new Settings.Costs(0.03, 0.08, 0.01, 0.01, 0.08)));
        gateway.runInput(() -> gateway.router.membersListed(ListedMember.ListKind.CACHED,
                members.values().stream().filter(member -> member.up).map(member -> entry(gateway, member)).toList()));
        return gateway;
    }

    /** The entry of a member in a list sent to a gateway; notes when the gateway is notified of a drain. */
    private ListedMember entry(SimulatedGateway gateway, SimulatedMember member) {
        if (!member.up) {
            gateway.drainingSince.putIfAbsent(member.id, now);
        }
        return new ListedMember(gateway.member(member.id), "here", "std", member.group,
                member.up ? ListedMember.Phase.UP : ListedMember.Phase.DRAINING, member.primary, 1, member.startedAt);
    }

    private void schedule(long at, Runnable action) {
        events.add(new Event(at, nextSequence++, action));
    }

    /** Rule 4: within a window, all gateways together send a cold member no more than a multiple of what it can do. */
    private void checkColdLimit(SimulatedMember member) {
        if (member.startedAt != 0 && now - member.startedAt < COLD_NANOS) {
            member.recentSends.addLast(now);
            member.recentSends.removeIf(sentAt -> sentAt <= now - COLD_WINDOW_NANOS);
            checkRule(member.recentSends.size()
                    > COLD_MULTIPLE * member.speed(now) * SLOTS_PER_MEMBER * COLD_WINDOW_NANOS / meanWork,
                    "4: too many call-outs to a cold member");
        }
    }

    /** Runs an RPC on a member once a slot is free, and then calls answer. */
    private void serve(SimulatedMember member, Runnable answer) {
        Runnable start = () -> {
            member.busy++;
            schedule(now + (long) (meanWork * (0.5 + random.nextDouble()) / member.speed(now)), () -> {
                member.busy--;
                answer.run();
                if (!member.queue.isEmpty()) {
                    member.queue.pollFirst().run();
                }
            });
        };
        if (member.busy < SLOTS_PER_MEMBER) {
            start.run();
        } else {
            member.queue.addLast(start);
        }
    }

    /** Sends an attempt of a client to a random gateway; a client that is pushed back retries at most twice. */
    private void sendRpc(Method method, int group, long firstArrival, int earlierAttempts) {
        SimulatedGateway gateway = gateways.get(random.nextInt(gateways.size()));
        MethodCounts methodCounts = counts.get(method);
        methodCounts.rpcs += earlierAttempts == 0 ? 1 : 0;
        methodCounts.attempts++;
        boolean followsWrite = method.consistency() == Consistency.SESSION && random.nextInt(3) > 0;
        Rpc rpc = new Rpc(nextRpcId++, group, "s", now + method.deadline(), earlierAttempts > 0,
                followsWrite ? (100 + random.nextInt(900)) * NANOS_PER_MS : 0, null, method);
        gateway.arrive(rpc, firstArrival, () -> {
            if (earlierAttempts < 2) {
                sendRpc(method, group, firstArrival, earlierAttempts + 1);
            }
        });
    }

    /** Schedules Poisson arrivals of RPCs of all methods up to the end. */
    private void scheduleTraffic(long end, double load) {
        double perSecond = members.size() * SLOTS_PER_MEMBER * 1e9 / meanWork * load * gateways.size()
                / configuredGateways;
        for (long arrival = now; arrival < end;
                arrival += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9)) {
            double remaining = random.nextDouble();
            int index = 0;
            while (index < trafficShares.length - 1 && remaining >= trafficShares[index]) {
                remaining -= trafficShares[index++];
            }
            Method method = methods.get(index);
            int group = random.nextInt(groups);
            schedule(arrival, () -> sendRpc(method, group, now, 0));
        }
    }

    /** Drains a member, starts its replacement, and hands over its role if it is the primary. */
    private void replace(SimulatedMember old) {
        old.up = false;
        SimulatedMember replacement = addMember(old.id + "'", old.group, now);
        announce(old, replacement);
        schedule(now + HANDOVER_NANOS, () -> {
            if (old.primary) {
                old.primary = false;
                members.values().stream().filter(member -> member.group == old.group && member.up).findFirst()
                        .ifPresent(successor -> {
                            successor.primary = successor.everPrimary = true;
                            schedule(now + ROLE_LISTED_NANOS, () -> announce(successor));
                        });
            }
        });
        schedule(now + 2 * HANDOVER_NANOS, () -> gateways.forEach(gateway -> gateway.runInput(
                () -> gateway.router.membersListed(ListedMember.ListKind.CHANGES, List.of(new ListedMember(
                        gateway.member(old.id), "here", "std", old.group, ListedMember.Phase.GONE, false, 1, 0))))));
    }

    /** Sends each gateway a list of these changes, each after a random delay. */
    private void announce(SimulatedMember... changed) {
        for (SimulatedGateway gateway : gateways) {
            schedule(now + random.nextInt(300) * NANOS_PER_MS, () -> gateway.runInput(
                    () -> gateway.router.membersListed(ListedMember.ListKind.CHANGES,
                            java.util.Arrays.stream(changed).map(member -> entry(gateway, member)).toList())));
        }
    }

    private void restartGateway(int index) {
        gateways.get(index).stopped = true;
        gateways.set(index, startGateway(index));
    }
}
