package reedquay.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.IntToLongFunction;
import org.HdrHistogram.Histogram;
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

/**
 * One gateway's true decisions in simulated time: clients that come, come again and leave, members with cores and a
 * queue. All chance comes from one seed; two runs of one script are the same. Times in nanoseconds.
 */
public final class GatewaySimulation implements RoutingActions {
    public static final long MS = 1_000_000;
    private static final long START_NANOS = 1_000_000_000 * MS / 1000;

    /** What a client does when it is turned away. */
    public enum RetryPolicy {
        /** Comes when it was told, or after a soft deadline where it was told nothing; three times at most. */
        POLITE,
        /** Comes again at once, up to three times, whatever it was told. */
        EAGER,
        /** Comes again at once for ever. */
        DEAF
    }

    /** A stream of requests: who, how often a second, of which method, and for how long. */
    public static final class RequestStream {
        final String tenant;
        final String clientId;
        final Method method;
        final double requestsPerSecond;
        final RetryPolicy retryPolicy;
        final long startNanos;
        final long endNanos;
        boolean newClientPerRequest; // each request is a client of its own
        /** It never comes again. */
        public boolean neverRetries;
        public long requests;
        public long servedInTime;
        public double utility;
        public long rpcs;
        public long pushedBack;
        public long advisedRetries; // came when told
        public long advisedRetriesInTime;
        public double workNanos; // served, in nanoseconds of a core
        public long served;
        /** How much later than it was told to come a client that did so had its answer, less its time inside. */
        public final Histogram advisedRetryLatency = new Histogram(3);

        public RequestStream(String tenant, String clientId, Method method, double requestsPerSecond, RetryPolicy retryPolicy, long startNanos,
                long endNanos) {
            this.tenant = tenant;
            this.clientId = clientId;
            this.method = method;
            this.requestsPerSecond = requestsPerSecond;
            this.retryPolicy = retryPolicy;
            this.startNanos = START_NANOS + startNanos;
            this.endNanos = START_NANOS + endNanos;
        }

        public RequestStream withNewClientPerRequest() {
            newClientPerRequest = true;
            return this;
        }

        /** Utility had of that asked for. */
        public double utilityShare() { return requests == 0 ? 1 : utility / (requests * method.utility()); }
    }

    private static final class Request {
        final RequestStream stream;
        final String clientId;
        int attempts;
        boolean servedInTime;
        boolean isAdvisedRetry; // this try came when it was told

        Request(RequestStream stream, String clientId) {
            this.stream = stream;
            this.clientId = clientId;
        }
    }

    private static final class Server {
        final Member member;
        final boolean primary;
        final int cores;
        final ArrayDeque<CallOut> queue = new ArrayDeque<>();
        int busyCores;
        boolean up = true;

        Server(String id, boolean primary, int cores) {
            member = new Member(id);
            this.primary = primary;
            this.cores = cores;
        }
    }

    private record Event(long at, long sequence, Runnable action) { }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final SplittableRandom random;
    private final RoutingEngine decider;
    private final Settings settings;
    private final Map<Method, Long> meanWorkNanos = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<Rpc, Request> openRequests = new HashMap<>();
    private final List<RequestStream> streams = new ArrayList<>();
    private final ArrayDeque<Runnable> inputs = new ArrayDeque<>();
    private boolean inBatch;
    private long now = START_NANOS;
    private long nextSequence;
    private long wakeUpGeneration;
    private long lastRpcId;
    private long newClients;
    private long lastWorkNanos;
    /** RPCs of which more than half of their time was gone when they were turned away without any call-out. */
    public long heldTooLong;
    /** What broke a rule here: two answers, a call-out after the end. */
    public long ruleViolations;

    public GatewaySimulation(Settings settings, long seed, BiFunction<Settings, RoutingActions, RoutingEngine> engineFactory) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        decider = engineFactory.apply(settings, this);
    }

    /** One group: a primary and replicas with so many cores each. */
    public GatewaySimulation addGroup(int replicas, int cores) {
        List<ListedMember> entries = new ArrayList<>();
        for (int i = 0; i <= replicas; i++) {
            Server server = new Server("m" + i, i == 0, cores);
            servers.add(server);
            server.member.frontState = server;
            entries.add(new ListedMember(server.member, "a", "std", 1, ListedMember.Phase.UP, server.primary, 1, 0));
        }
        deliverInput(() -> decider.membersListed(ListedMember.ListKind.FULL, entries));
        return this;
    }

    /** How long a method's work takes a core; exponential about that mean. */
    public GatewaySimulation setMeanWork(Method method, long meanNanos) {
        meanWorkNanos.put(method, meanNanos);
        return this;
    }

    public GatewaySimulation addStream(RequestStream stream) {
        streams.add(stream);
        if (stream.requestsPerSecond > 0) {
            schedule(stream.startNanos + interarrivalNanos(stream), () -> nextArrival(stream));
        }
        return this;
    }

    /** So many requests of a stream at one moment. */
    public GatewaySimulation addBurst(long millis, int requests, RequestStream stream, IntToLongFunction offsetNanos) {
        streams.add(stream);
        for (int i = 0; i < requests; i++) {
            schedule(START_NANOS + millis * MS + offsetNanos.applyAsLong(i), () -> startRequest(stream));
        }
        return this;
    }

    /** Something that happens at that time. */
    public GatewaySimulation runAt(long millis, Runnable action) {
        schedule(START_NANOS + millis * MS, action);
        return this;
    }

    /** The last so many replicas stop answering, or come back. */
    public void setReplicasUp(int replicas, boolean up) {
        for (int i = servers.size() - replicas; i < servers.size(); i++) {
            Server server = servers.get(i);
            server.up = up;
            if (!up) {
                List<CallOut> dropped = new ArrayList<>(server.queue);
                server.queue.clear();
                dropped.forEach(c -> endCallOut(c, Outcome.RESET));
            }
        }
    }

    public void runUntil(long millis) {
        long end = START_NANOS + millis * MS;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
    }

    public RoutingEngine engine() { return decider; }

    private void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), nextSequence++, action));
    }

    private void deliverInput(Runnable input) {
        inputs.addLast(input);
        if (inBatch) {
            return;
        }
        inBatch = true;
        while (!inputs.isEmpty()) {
            decider.beginBatch(now);
            inputs.pollFirst().run();
            decider.endBatch();
        }
        inBatch = false;
    }

    // ---- Clients ----

    private long interarrivalNanos(RequestStream stream) {
        return (long) (-Math.log(1 - random.nextDouble()) / stream.requestsPerSecond * 1e9);
    }

    private void nextArrival(RequestStream stream) {
        if (now < stream.endNanos) {
            startRequest(stream);
            schedule(now + interarrivalNanos(stream), () -> nextArrival(stream));
        }
    }

    private void startRequest(RequestStream stream) {
        stream.requests++;
        sendRpc(new Request(stream, stream.newClientPerRequest ? stream.clientId + newClients++ : stream.clientId));
    }

    private void sendRpc(Request request) {
        RequestStream stream = request.stream;
        stream.rpcs++;
        request.attempts++;
        Rpc rpc = new Rpc(++lastRpcId, 1, request.clientId, now + stream.method.deadline(), request.attempts > 1, 0, stream.tenant, stream.method);
        rpc.clientId = request.clientId;
        rpc.frontState = now;
        openRequests.put(rpc, request);
        deliverInput(() -> decider.rpcArrived(rpc));
        schedule(rpc.deadline, () -> {
            if (!rpc.ended) {
                rpc.ended = true;
                openRequests.remove(rpc);
                deliverInput(() -> decider.clientGone(rpc));
            }
        });
    }

    private void recordServed(Rpc rpc, double workNanos) {
        Request request = openRequests.remove(rpc);
        long latency = now - (Long) rpc.frontState;
        boolean inTime = latency <= rpc.method.softDeadline();
        request.stream.workNanos += workNanos;
        request.stream.served++;
        if (inTime && !request.servedInTime) {
            request.servedInTime = true;
            request.stream.servedInTime++;
            request.stream.utility += rpc.method.utility();
        }
        if (request.isAdvisedRetry) {
            request.stream.advisedRetryLatency.recordValue(Math.max(0, latency));
            request.stream.advisedRetriesInTime += inTime ? 1 : 0;
        }
    }

    private void recordPushedBack(Rpc rpc, long retryAfter) {
        Request request = openRequests.remove(rpc);
        request.stream.pushedBack++;
        long held = now - (Long) rpc.frontState;
        if (rpc.callOuts.isEmpty() && held > (rpc.deadline - (Long) rpc.frontState) / 2) {
            heldTooLong++;
        }
        if (request.stream.neverRetries || request.stream.retryPolicy != RetryPolicy.DEAF && request.attempts > 3) {
            return;
        }
        boolean polite = request.stream.retryPolicy == RetryPolicy.POLITE;
        long delay = !polite ? MS : retryAfter > 0 ? retryAfter : rpc.method.softDeadline();
        schedule(now + delay + (polite ? 0 : random.nextLong(4 * MS)), () -> {
            request.isAdvisedRetry = polite && retryAfter > 0;
            request.stream.advisedRetries += request.isAdvisedRetry ? 1 : 0;
            sendRpc(request);
        });
    }

    // ---- Members ----

    private void startWork(Server server) {
        while (server.up && server.busyCores < server.cores && !server.queue.isEmpty()) {
            CallOut callOut = server.queue.pollFirst();
            if (callOut.ended) {
                continue;
            }
            server.busyCores++;
            long mean = meanWorkNanos.get(callOut.rpc.method);
            long workNanos = (long) (-Math.log(1 - random.nextDouble()) * mean);
            schedule(now + workNanos, () -> {
                server.busyCores--;
                startWork(server);
                if (!callOut.ended && server.up) {
                    lastWorkNanos = workNanos;
                    endCallOut(callOut, Outcome.OK);
                }
            });
        }
    }

    private void endCallOut(CallOut callOut, Outcome outcome) {
        if (callOut.ended) {
            return;
        }
        callOut.ended = true;
        Server server = (Server) callOut.member.frontState;
        if (outcome == Outcome.OK && !callOut.rpc.ended) {
            callOut.rpc.ended = true;
            recordServed(callOut.rpc, lastWorkNanos);
        }
        boolean ended = callOut.rpc.ended;
        boolean hasReport = outcome == Outcome.OK;
        deliverInput(() -> decider.callOutEnded(callOut, outcome, now - callOut.sentAt, ended, hasReport ? now : LoadReport.NO_POSITION,
                !hasReport ? Role.UNKNOWN : server.primary ? Role.PRIMARY : Role.REPLICA, LoadReport.NONE));
    }

    // ---- Effects ----

    @Override public void sendCallOut(CallOut callOut, long limit) {
        ruleViolations += callOut.rpc.ended ? 1 : 0;
        Server server = (Server) callOut.member.frontState;
        schedule(now + MS / 4, () -> {
            if (!server.up) {
                schedule(now + settings.capabilities().connectTimeout(), () -> endCallOut(callOut, Outcome.NO_CONNECTION));
            } else if (server.queue.size() >= 64) {
                endCallOut(callOut, Outcome.FULL);
            } else {
                server.queue.addLast(callOut);
                startWork(server);
            }
        });
    }

    @Override public void proceed(CallOut callOut) { }

    @Override public void cancel(CallOut callOut) {
        schedule(now, () -> endCallOut(callOut, Outcome.CANCELLED));
    }

    @Override public void pushBack(Rpc rpc, long retryAfter) {
        ruleViolations += rpc.ended ? 1 : 0;
        rpc.ended = true;
        recordPushedBack(rpc, retryAfter);
    }

    @Override public void abort(Rpc rpc) {
        ruleViolations += rpc.ended ? 1 : 0;
        rpc.ended = true;
        openRequests.remove(rpc);
    }

    @Override public void probe(Member member) {
        Server server = (Server) member.frontState;
        schedule(now + MS / 2, () -> deliverInput(() -> decider.probeEnded(member, server.up ? Outcome.OK : Outcome.TIMED_OUT, MS / 2,
                server.up ? new LoadReport(now - 5 * MS, server.primary ? Role.PRIMARY : Role.REPLICA, -1, -1, -1)
                        : LoadReport.NONE)));
    }

    @Override public void closeIdleConnections(Member member) { }

    @Override public void forgetMember(Member member) { }

    @Override public void scheduleWakeUp(long delay) {
        long generation = ++wakeUpGeneration;
        schedule(now + delay, () -> {
            if (generation == wakeUpGeneration) {
                deliverInput(() -> { });
            }
        });
    }

    @Override public void requestMemberList() { }

    @Override public void log(String line) { }
}
