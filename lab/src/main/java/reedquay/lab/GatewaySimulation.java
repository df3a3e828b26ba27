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

/**
 * A simulation of one gateway in simulated time. The routing engine is the real one; clients, which send, retry and
 * abandon requests, and members, which have cores and a queue, are simulated. All random numbers derive from one seed,
 * so that two runs of the same scenario are identical. Times are in nanoseconds unless a name says otherwise.
 */
public final class GatewaySimulation implements RoutingActions {
    /** Nanoseconds in a millisecond. */
    public static final long MS = 1_000_000;
    private static final long START_NANOS = 1_000_000_000 * MS / 1000;

    /** What a client does when it is pushed back. The constants are values of command-line options. */
    public enum RetryPolicy {
        /** Retries at the advised time, or after a soft deadline if none was advised; at most three times. */
        POLITE,
        /** Retries after a few milliseconds whatever was advised, at most three times. */
        EAGER,
        /** Retries after a few milliseconds whatever was advised, without a limit on their number. */
        DEAF
    }

    /** A Poisson stream of requests of one tenant and method, with statistics of their outcomes. */
    public static final class RequestStream {
        final String tenant;
        final String clientId;
        final Method method;
        final double requestsPerSecond;
        final RetryPolicy retryPolicy;
        final long startNanos;
        final long endNanos;
        boolean newClientPerRequest; // each request has a client ID of its own
        /** Whether requests that are pushed back are given up instead of retried. */
        public boolean neverRetries;
        /** Requests, each counted once whatever its number of attempts. */
        public long requests;
        /** Requests served within the soft deadline of one of their attempts. */
        public long servedInTime;
        /** Sum of the utility of the requests served in time. */
        public double utility;
        /** RPCs, that is attempts of all requests. */
        public long rpcs;
        /** RPCs pushed back. */
        public long pushedBack;
        /** Retries sent at the advised time. */
        public long advisedRetries;
        /** Retries sent at the advised time and served within the soft deadline. */
        public long advisedRetriesInTime;
        /** Work of the RPCs served, in nanoseconds of a core. */
        public double workNanos;
        /** RPCs served. */
        public long served;
        /** Time from a retry sent at the advised time to its answer. */
        public final Histogram advisedRetryLatency = new Histogram(3);

        /** startNanos and endNanos count from the start of the simulation. */
        public RequestStream(String tenant, String clientId, Method method, double requestsPerSecond,
                RetryPolicy retryPolicy, long startNanos, long endNanos) {
            this.tenant = tenant;
            this.clientId = clientId;
            this.method = method;
            this.requestsPerSecond = requestsPerSecond;
            this.retryPolicy = retryPolicy;
            this.startNanos = START_NANOS + startNanos;
            this.endNanos = START_NANOS + endNanos;
        }

        /** Sends each request under a new client ID that starts with the stream's. */
        public RequestStream withNewClientPerRequest() {
            newClientPerRequest = true;
            return this;
        }

        /** Returns the utility gained as a fraction of that of all requests; 1 if there were none. */
        public double utilityShare() { return requests == 0 ? 1 : utility / (requests * method.utility()); }
    }

    /** One request of a client, over all its attempts. */
    private static final class Request {
        final RequestStream stream;
        final String clientId;
        int attempts;
        boolean servedInTime;
        boolean isAdvisedRetry; // the current attempt was sent at the advised time

        Request(RequestStream stream, String clientId) {
            this.stream = stream;
            this.clientId = clientId;
        }
    }

    /** A simulated member. */
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

    /** An event in simulated time; events of the same time run in the order of their sequence numbers. */
    private record Event(long atNanos, long sequence, Runnable action) { }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final SplittableRandom random;
    private final RoutingEngine engine;
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
    /** RPCs pushed back without any call-out after more than half of their time to the deadline had passed. */
    public long heldTooLong;
    /** Violations of rule 1: second final answers of an RPC, and call-outs after its final answer. */
    public long ruleViolations;

    /** Creates a simulation without members; the factory creates the engine, which acts on this simulation. */
    public GatewaySimulation(Settings settings, long seed,
            BiFunction<Settings, RoutingActions, RoutingEngine> engineFactory) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        engine = engineFactory.apply(settings, this);
    }

    /** Adds a group of one primary and the given number of replicas; cores are per member. */
    public GatewaySimulation addGroup(int replicas, int cores) {
        List<ListedMember> entries = new ArrayList<>();
        for (int i = 0; i <= replicas; i++) {
            Server server = new Server("m" + i, i == 0, cores);
            servers.add(server);
            server.member.frontState = server;
            entries.add(new ListedMember(server.member, "a", "std", 1, ListedMember.Phase.UP, server.primary, 1, 0));
        }
        deliverInput(() -> engine.membersListed(ListedMember.ListKind.FULL, entries));
        return this;
    }

    /** Sets the mean work of a method, in nanoseconds of a core; the work of each RPC is exponentially distributed. */
    public GatewaySimulation setMeanWork(Method method, long meanNanos) {
        meanWorkNanos.put(method, meanNanos);
        return this;
    }

    /** Adds a stream, which sends requests in a Poisson process unless its rate is 0. */
    public GatewaySimulation addStream(RequestStream stream) {
        streams.add(stream);
        if (stream.requestsPerSecond > 0) {
            schedule(stream.startNanos + interarrivalNanos(stream), () -> nextArrival(stream));
        }
        return this;
    }

    /** Adds a number of requests of a stream, of which request i is sent offsetNanos(i) after the given time. */
    public GatewaySimulation addBurst(long millis, int requests, RequestStream stream, IntToLongFunction offsetNanos) {
        streams.add(stream);
        for (int i = 0; i < requests; i++) {
            schedule(START_NANOS + millis * MS + offsetNanos.applyAsLong(i), () -> startRequest(stream));
        }
        return this;
    }

    /** Runs an action at the given time. */
    public GatewaySimulation runAt(long millis, Runnable action) {
        schedule(START_NANOS + millis * MS, action);
        return this;
    }

    /** Stops or restarts the given number of replicas, the last ones. Call-outs queued at a stopped one are reset. */
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

    /** Runs all events up to and including the given time. */
    public void runUntil(long millis) {
        long end = START_NANOS + millis * MS;
        while (!events.isEmpty() && events.peek().atNanos <= end) {
            Event event = events.poll();
            now = event.atNanos;
            event.action.run();
        }
    }

    /** Returns the simulated gateway's routing engine. */
    public RoutingEngine engine() { return engine; }

    private void schedule(long atNanos, Runnable action) {
        events.add(new Event(Math.max(atNanos, now), nextSequence++, action));
    }

    /** Gives an input to the engine in a batch of its own; one given during a batch is delivered after it. */
    private void deliverInput(Runnable input) {
        inputs.addLast(input);
        if (inBatch) {
            return;
        }
        inBatch = true;
        while (!inputs.isEmpty()) {
            engine.beginBatch(now);
            inputs.pollFirst().run();
            engine.endBatch();
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
        Rpc rpc = new Rpc(++lastRpcId, 1, request.clientId, now + stream.method.deadline(), request.attempts > 1, 0,
                stream.tenant, stream.method);
        rpc.clientId = request.clientId;
        rpc.frontState = now;
        openRequests.put(rpc, request);
        deliverInput(() -> engine.rpcArrived(rpc));
        schedule(rpc.deadline, () -> {
            if (!rpc.ended) {
                rpc.ended = true;
                openRequests.remove(rpc);
                deliverInput(() -> engine.clientGone(rpc));
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
        deliverInput(() -> engine.callOutEnded(callOut, outcome, now - callOut.sentAt, ended,
                hasReport ? now : LoadReport.NO_POSITION,
                !hasReport ? Role.UNKNOWN : server.primary ? Role.PRIMARY : Role.REPLICA, LoadReport.NONE));
    }

    // ---- Actions of the engine ----

    @Override public void sendCallOut(CallOut callOut, long limit) {
        ruleViolations += callOut.rpc.ended ? 1 : 0;
        Server server = (Server) callOut.member.frontState;
        schedule(now + MS / 4, () -> {
            if (!server.up) {
                schedule(now + settings.capabilities().connectTimeout(),
                        () -> endCallOut(callOut, Outcome.NO_CONNECTION));
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
        schedule(now + MS / 2, () -> deliverInput(() -> engine.probeEnded(member,
                server.up ? Outcome.OK : Outcome.TIMED_OUT, MS / 2,
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
