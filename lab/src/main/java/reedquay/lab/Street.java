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
public final class Street implements RoutingActions {
    public static final long MS = 1_000_000;
    private static final long START = 1_000_000_000 * MS / 1000;

    /** What a client does when it is turned away. */
    public enum Manner {
        /** Comes when it was told, or after a soft deadline where it was told nothing; three times at most. */
        POLITE,
        /** Comes again at once, up to three times, whatever it was told. */
        EAGER,
        /** Comes again at once for ever. */
        DEAF
    }

    /** A stream of requests: who, how often a second, of which method, and for how long. */
    public static final class Stream {
        final String tenant;
        final String caller;
        final Method method;
        final double perSecond;
        final Manner manner;
        final long from;
        final long until;
        boolean fresh; // each request is a client of its own
        /** It never comes again. */
        public boolean once;
        public long requests;
        public long inTime;
        public double utility;
        public long rpcs;
        public long pushedBack;
        public long told; // came when told
        public long toldInTime;
        public double work; // served, in nanoseconds of a core
        public long served;
        /** How much later than it was told to come a client that did so had its answer, less its time inside. */
        public final Histogram error = new Histogram(3);

        public Stream(String tenant, String caller, Method method, double perSecond, Manner manner, long from,
                long until) {
            this.tenant = tenant;
            this.caller = caller;
            this.method = method;
            this.perSecond = perSecond;
            this.manner = manner;
            this.from = START + from;
            this.until = START + until;
        }

        public Stream freshClients() {
            fresh = true;
            return this;
        }

        /** Utility had of that asked for. */
        public double share() { return requests == 0 ? 1 : utility / (requests * method.utility()); }
    }

    private static final class Request {
        final Stream stream;
        final String caller;
        int tries;
        boolean done;
        boolean asTold; // this try came when it was told

        Request(Stream stream, String caller) {
            this.stream = stream;
            this.caller = caller;
        }
    }

    private static final class Server {
        final Member member;
        final boolean primary;
        final int cores;
        final ArrayDeque<CallOut> queue = new ArrayDeque<>();
        int busy;
        boolean up = true;

        Server(String id, boolean primary, int cores) {
            member = new Member(id);
            this.primary = primary;
            this.cores = cores;
        }
    }

    private record Event(long at, long order, Runnable what) { }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final SplittableRandom random;
    private final RoutingEngine decider;
    private final Settings settings;
    private final Map<Method, Long> service = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<Rpc, Request> asked = new HashMap<>();
    private final List<Stream> streams = new ArrayList<>();
    private final ArrayDeque<Runnable> inputs = new ArrayDeque<>();
    private boolean inBatch;
    private long now = START;
    private long order;
    private long alarm;
    private long ids;
    private long callers;
    private long lastAnswer;
    /** RPCs of which more than half of their time was gone when they were turned away without any call-out. */
    public long keptBack;
    /** What broke a rule here: two answers, a call-out after the end. */
    public long broken;

    public Street(Settings settings, long seed, BiFunction<Settings, RoutingActions, RoutingEngine> maker) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        decider = maker.apply(settings, this);
    }

    /** One group: a primary and replicas with so many cores each. */
    public Street group(int replicas, int cores) {
        List<ListedMember> entries = new ArrayList<>();
        for (int i = 0; i <= replicas; i++) {
            Server s = new Server("m" + i, i == 0, cores);
            servers.add(s);
            s.member.frontState = s;
            entries.add(new ListedMember(s.member, "a", "std", 1, ListedMember.Phase.UP, s.primary, 1, 0));
        }
        input(() -> decider.membersListed(ListedMember.ListKind.FULL, entries));
        return this;
    }

    /** How long a method's work takes a core; exponential about that mean. */
    public Street work(Method method, long nanos) {
        service.put(method, nanos);
        return this;
    }

    public Street add(Stream stream) {
        streams.add(stream);
        if (stream.perSecond > 0) {
            later(stream.from + gap(stream), () -> come(stream));
        }
        return this;
    }

    /** So many requests of a stream at one moment. */
    public Street at(long millis, int requests, Stream stream, IntToLongFunction spread) {
        streams.add(stream);
        for (int i = 0; i < requests; i++) {
            later(START + millis * MS + spread.applyAsLong(i), () -> begin(stream));
        }
        return this;
    }

    /** Something that happens at that time. */
    public Street at(long millis, Runnable what) {
        later(START + millis * MS, what);
        return this;
    }

    /** The last so many replicas stop answering, or come back. */
    public void up(int replicas, boolean up) {
        for (int i = servers.size() - replicas; i < servers.size(); i++) {
            Server s = servers.get(i);
            s.up = up;
            if (!up) {
                List<CallOut> broken = new ArrayList<>(s.queue);
                s.queue.clear();
                broken.forEach(c -> finish(c, Outcome.RESET));
            }
        }
    }

    public void run(long millis) {
        long end = START + millis * MS;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            e.what.run();
        }
    }

    public RoutingEngine decider() { return decider; }

    private void later(long time, Runnable what) {
        events.add(new Event(Math.max(time, now), order++, what));
    }

    private void input(Runnable what) {
        inputs.addLast(what);
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

    private long gap(Stream s) {
        return (long) (-Math.log(1 - random.nextDouble()) / s.perSecond * 1e9);
    }

    private void come(Stream s) {
        if (now < s.until) {
            begin(s);
            later(now + gap(s), () -> come(s));
        }
    }

    private void begin(Stream s) {
        s.requests++;
        ask(new Request(s, s.fresh ? s.caller + callers++ : s.caller));
    }

    private void ask(Request r) {
        Stream s = r.stream;
        s.rpcs++;
        r.tries++;
        Rpc rpc = new Rpc(++ids, 1, r.caller, now + s.method.deadline(), r.tries > 1, 0, s.tenant, s.method);
        rpc.clientId = r.caller;
        rpc.frontState = now;
        asked.put(rpc, r);
        input(() -> decider.rpcArrived(rpc));
        later(rpc.deadline, () -> {
            if (!rpc.ended) {
                rpc.ended = true;
                asked.remove(rpc);
                input(() -> decider.clientGone(rpc));
            }
        });
    }

    private void served(Rpc rpc, double worked) {
        Request r = asked.remove(rpc);
        long took = now - (Long) rpc.frontState;
        boolean inTime = took <= rpc.method.softDeadline();
        r.stream.work += worked;
        r.stream.served++;
        if (inTime && !r.done) {
            r.done = true;
            r.stream.inTime++;
            r.stream.utility += rpc.method.utility();
        }
        if (r.asTold) {
            r.stream.error.recordValue(Math.max(0, took));
            r.stream.toldInTime += inTime ? 1 : 0;
        }
    }

    private void turnedAway(Rpc rpc, long after) {
        Request r = asked.remove(rpc);
        r.stream.pushedBack++;
        long waited = now - (Long) rpc.frontState;
        if (rpc.callOuts.isEmpty() && waited > (rpc.deadline - (Long) rpc.frontState) / 2) {
            keptBack++;
        }
        if (r.stream.once || r.stream.manner != Manner.DEAF && r.tries > 3) {
            return;
        }
        boolean polite = r.stream.manner == Manner.POLITE;
        long wait = !polite ? MS : after > 0 ? after : rpc.method.softDeadline();
        later(now + wait + (polite ? 0 : random.nextLong(4 * MS)), () -> {
            r.asTold = polite && after > 0;
            r.stream.told += r.asTold ? 1 : 0;
            ask(r);
        });
    }

    // ---- Members ----

    private void start(Server s) {
        while (s.up && s.busy < s.cores && !s.queue.isEmpty()) {
            CallOut c = s.queue.pollFirst();
            if (c.ended) {
                continue;
            }
            s.busy++;
            long mean = service.get(c.rpc.method);
            long worked = (long) (-Math.log(1 - random.nextDouble()) * mean);
            later(now + worked, () -> {
                s.busy--;
                start(s);
                if (!c.ended && s.up) {
                    lastAnswer = worked;
                    finish(c, Outcome.OK);
                }
            });
        }
    }

    private void finish(CallOut c, Outcome outcome) {
        if (c.ended) {
            return;
        }
        c.ended = true;
        Server s = (Server) c.member.frontState;
        if (outcome == Outcome.OK && !c.rpc.ended) {
            c.rpc.ended = true;
            served(c.rpc, lastAnswer);
        }
        boolean ended = c.rpc.ended;
        boolean tells = outcome == Outcome.OK;
        input(() -> decider.callOutEnded(c, outcome, now - c.sentAt, ended, tells ? now : LoadReport.NO_POSITION,
                !tells ? Role.UNKNOWN : s.primary ? Role.PRIMARY : Role.REPLICA, LoadReport.NONE));
    }

    // ---- Effects ----

    @Override public void sendCallOut(CallOut c, long limit) {
        broken += c.rpc.ended ? 1 : 0;
        Server s = (Server) c.member.frontState;
        later(now + MS / 4, () -> {
            if (!s.up) {
                later(now + settings.capabilities().connectTimeout(), () -> finish(c, Outcome.NO_CONNECTION));
            } else if (s.queue.size() >= 64) {
                finish(c, Outcome.FULL);
            } else {
                s.queue.addLast(c);
                start(s);
            }
        });
    }

    @Override public void proceed(CallOut c) { }

    @Override public void cancel(CallOut c) {
        later(now, () -> finish(c, Outcome.CANCELLED));
    }

    @Override public void pushBack(Rpc rpc, long after) {
        broken += rpc.ended ? 1 : 0;
        rpc.ended = true;
        turnedAway(rpc, after);
    }

    @Override public void abort(Rpc rpc) {
        broken += rpc.ended ? 1 : 0;
        rpc.ended = true;
        asked.remove(rpc);
    }

    @Override public void probe(Member m) {
        Server s = (Server) m.frontState;
        later(now + MS / 2, () -> input(() -> decider.probeEnded(m, s.up ? Outcome.OK : Outcome.TIMED_OUT, MS / 2,
                s.up ? new LoadReport(now - 5 * MS, s.primary ? Role.PRIMARY : Role.REPLICA, -1, -1, -1)
                        : LoadReport.NONE)));
    }

    @Override public void closeIdleConnections(Member m) { }

    @Override public void forgetMember(Member m) { }

    @Override public void scheduleWakeUp(long delay) {
        long mine = ++alarm;
        later(now + delay, () -> {
            if (mine == alarm) {
                input(() -> { });
            }
        });
    }

    @Override public void requestMemberList() { }

    @Override public void log(String line) { }
}
