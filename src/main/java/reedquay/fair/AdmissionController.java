package reedquay.fair;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.zip.CRC32;
import reedquay.core.CallOut;
import reedquay.core.LatencyHistogram;
import reedquay.core.ListedMember;
import reedquay.core.LoadReport;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.Role;
import reedquay.core.RoutingActions;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.Stage;

/**
 * Admission control with weighted fair queueing in front of the Router: decides which RPCs wait, which waiting RPC is
 * admitted next, and which RPCs are pushed back with which retry-after. The Router alone selects members, retries, and
 * pushes RPCs back because of the state of members. An RPC that waits here has never been sent to a member, so it can
 * always be pushed back safely; an admitted RPC is left to the Router. Clients are identified by a seeded hash of their
 * ID. Times are in nanoseconds; most are fractions or multiples of the shortest soft deadline of all methods.
 * Single-threaded. The sections of the file, in order: state transitions of an RPC, fields, inputs, conditions and
 * actions of the transitions, retry-after and costs, timer wheel, statistics.
 */
public final class AdmissionController extends Stage {
    /** States of an RPC: not decided yet, queued, passed on to the Router, or finished as far as this stage goes. */
    enum State { NEW, WAITING, ADMITTED, FINISHED }

    /** Events of an RPC that can change its state. */
    enum Input {
        /** It arrived from the front. */
        ARRIVED,
        /** The fair scheduler selected it. */
        SCHEDULED,
        /** It has waited for as long as it may. */
        EXPIRED,
        /** Its place in the queue is needed for an RPC of a shorter flow. */
        EVICTED,
        /** It was answered with ok. */
        ANSWERED,
        /** The Router pushed it back. */
        PUSHED_BACK,
        /** Its client disconnected, or the Router aborted it. */
        TERMINATED
    }

    /** A row of the transition table: in this state, this input leads to nextState and runs the action. */
    private record Transition(State state, Input input, BiPredicate<AdmissionController, AdmissionEntry> condition,
            State nextState, BiConsumer<AdmissionController, AdmissionEntry> action) { }

    private static final BiPredicate<AdmissionController, AdmissionEntry> ALWAYS = (controller, entry) -> true;
    private static final BiPredicate<AdmissionController, AdmissionEntry> RPC_ENDED =
            (controller, entry) -> entry.rpc.ended;
    private static final BiPredicate<AdmissionController, AdmissionEntry> NO_TRAFFIC_CLASS =
            (controller, entry) -> entry.trafficClass == null;

    /** State transitions of an RPC. The first row whose state, input and condition match applies. */
    private static final Transition[] TRANSITIONS = {
        // an unknown group or method is for the Router to answer
        new Transition(State.NEW, Input.ARRIVED, NO_TRAFFIC_CLASS, State.ADMITTED, AdmissionController::forward),
        new Transition(State.NEW, Input.ARRIVED, AdmissionController::canAdmitAtOnce, State.ADMITTED,
                AdmissionController::admit),
        new Transition(State.NEW, Input.ARRIVED, AdmissionController::canQueueReserved, State.WAITING,
                AdmissionController::enqueueReserved),
        new Transition(State.NEW, Input.ARRIVED, AdmissionController::canAdmitInTime, State.WAITING,
                AdmissionController::enqueue),
        new Transition(State.NEW, Input.ARRIVED, ALWAYS, State.FINISHED, AdmissionController::reject),
        // the RPC has ended because its client disconnected
        new Transition(State.WAITING, Input.SCHEDULED, RPC_ENDED, State.FINISHED,
                AdmissionController::removeFromWheel),
        new Transition(State.WAITING, Input.EXPIRED, RPC_ENDED, State.FINISHED, AdmissionController::dequeue),
        new Transition(State.WAITING, Input.EVICTED, RPC_ENDED, State.FINISHED, AdmissionController::dequeue),
        new Transition(State.WAITING, Input.SCHEDULED, ALWAYS, State.ADMITTED, AdmissionController::admit),
        new Transition(State.WAITING, Input.EXPIRED, ALWAYS, State.FINISHED, AdmissionController::expire),
        new Transition(State.WAITING, Input.EVICTED, ALWAYS, State.FINISHED, AdmissionController::evict),
        new Transition(State.WAITING, Input.TERMINATED, ALWAYS, State.FINISHED, AdmissionController::dequeue),
        new Transition(State.ADMITTED, Input.ANSWERED, ALWAYS, State.FINISHED, AdmissionController::recordAnswer),
        new Transition(State.ADMITTED, Input.PUSHED_BACK, ALWAYS, State.FINISHED, AdmissionController::recordPushback),
        new Transition(State.ADMITTED, Input.TERMINATED, ALWAYS, State.FINISHED, AdmissionController::release),
    };

    private void apply(AdmissionEntry entry, Input input) {
        for (Transition transition : TRANSITIONS) {
            if (transition.state == entry.state && transition.input == input
                    && transition.condition.test(this, entry)) {
                entry.state = transition.nextState;
                transition.action.accept(this, entry);
                return;
            }
        }
    }

    // ---- State ----

    /**
     * Why an RPC was pushed back: it was not expected to be admitted in time, all places were taken, it waited too
     * long, or the Router pushed it back. The names are written out in counters and in the trace.
     */
    enum PushbackReason { NO_TIME, FULL, LATE, MEMBERS }

    /** Counters of one tenant. */
    private static final class TenantCounters {
        final String name;
        final double defaultWeight; // the tenant's quota in the settings, in RPCs per second
        long arrived;
        long waited;
        long admitted;
        long earlyRetries; // arrived before the retry-after that the client was given
        long redeemed; // arrived at the retry-after that the client was given
        long redeemedInTime; // of those, answered within the soft deadline
        final long[] pushbacks = new long[PushbackReason.values().length];

        TenantCounters(String name, double defaultWeight) {
            this.name = name;
            this.defaultWeight = defaultWeight;
        }
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final int HEAVY_HITTER_COUNT = 64; // clients whose work and pushbacks are counted

    private final Settings settings;
    private final long tick; // nanoseconds; the front's timers are no finer
    private final long shortestSoftDeadline; // of all methods
    private final long wheelSlotWidth; // nanoseconds per slot of the timer wheel
    private final long maxRetryAfter; // 0 where clients can't be given a retry-after
    private final Map<String, Integer> tenantIndexes = new HashMap<>(); // never iterated
    private final List<TenantCounters> tenantCounters = new ArrayList<>();
    private final double[] weights; // by tenant, the smallest is 1; shared with the scheduler
    private final Map<Integer, TrafficClass[]> classesByGroup = new HashMap<>(); // {reads, writes}; never iterated
    private final List<TrafficClass> trafficClasses = new ArrayList<>();
    private final FairScheduler scheduler;
    private final RetryReservations reservations;
    private final HeavyHitters heavyHitters = new HeavyHitters(HEAVY_HITTER_COUNT);
    private final Map<Method, LatencyHistogram> costsByMethod = new IdentityHashMap<>(); // never iterated
    private final AdmissionEntry[] timerWheel; // waiting entries by the time at which they expire
    private final CRC32 crc = new CRC32();
    private final ByteBuffer randomInput = ByteBuffer.allocate(2 * Long.BYTES);
    private final Hasher64 firstHasher; // of the first seed, for keys that stay the same
    private Hasher64 hasher;
    private Hasher64 previousHasher; // of the previous seed, for reservations made under it
    private long reseededAt;
    private long randomCounter;
    private long arrivals;
    private long now;
    private long wheelPosition;
    private long routerAlarmAt = NEVER;
    private long alarmAt = NEVER;
    private long halvedAt;
    private PushbackReason pushbackReason;
    private boolean clientsMarkRetries; // a retry marked as such has been seen
    private boolean capacityFreed; // an admitted RPC has left since the queues were last served

    /**
     * Creates the stage; setNext is to be called with the Router before the first input. The actions carry out what the
     * Router and this stage decide.
     */
    public AdmissionController(Settings settings, AdmissionSettings admissionSettings, RoutingActions actions) {
        super(actions);
        this.settings = settings;
        tick = settings.tick();
        long oneSecond = 1_000_000_000;
        shortestSoftDeadline = settings.methods().stream().mapToLong(Method::softDeadline).min().orElse(oneSecond);
        long longestDeadline = settings.methods().stream().mapToLong(Method::deadline).max().orElse(oneSecond);
        wheelSlotWidth = Math.max(1, shortestSoftDeadline / 32);
        timerWheel = new AdmissionEntry[(int) (longestDeadline / 2 / wheelSlotWidth) + 3];
        maxRetryAfter = settings.capabilities().retryAfter() ? settings.capabilities().maxRetryAfter() : 0;
        double smallestQuota = NEVER;
        for (Settings.Tenant tenant : settings.tenants()) {
            if (tenantIndexes.putIfAbsent(tenant.name(), tenantCounters.size()) == null) {
                tenantCounters.add(new TenantCounters(tenant.name(), Math.min(tenant.quotaPerSecond(), 1e9)));
                smallestQuota = Math.min(smallestQuota, tenantCounters.get(tenantCounters.size() - 1).defaultWeight);
            }
        }
        // all unknown tenants together have the weight of one
        tenantCounters.add(new TenantCounters("others", smallestQuota == NEVER ? 1 : smallestQuota));
        weights = new double[tenantCounters.size()];
        setWeights(admissionSettings.tenantWeights());
        scheduler = new FairScheduler(admissionSettings.maxWaiting(), weights);
        scheduler.setQuantum(shortestSoftDeadline / 16);
        reservations = new RetryReservations(Math.max(1, shortestSoftDeadline / 8), maxRetryAfter,
                shortestSoftDeadline / 8, admissionSettings.maxWaiting());
        reseed();
        previousHasher = firstHasher = hasher;
    }

    /** Changes the tenants' weights at run time. A tenant without an entry is weighted by its quota. */
    public void setWeights(Map<String, Double> weightByName) {
        double[] weightByTenant = tenantCounters.stream()
                .mapToDouble(tenant -> weightByName.getOrDefault(tenant.name, tenant.defaultWeight)).toArray();
        double smallest = Arrays.stream(weightByTenant).min().orElse(1);
        Arrays.setAll(weights, i -> weightByTenant[i] / smallest);
        trafficClasses.forEach(trafficClass -> scheduler.weightsChanged(trafficClass.queue));
    }

    /** Bytes allocated at construction; constant, whatever the number of clients. */
    public long memoryBytes() {
        return scheduler.memoryBytes() + reservations.memoryBytes() + 8L * timerWheel.length
                + HEAVY_HITTER_COUNT * 40L;
    }

    // ---- Inputs ----

    @Override public void beginBatch(long time) {
        now = time;
        alarmAt = now + tick >= alarmAt ? NEVER : alarmAt; // a coarse clock can wake it up to a tick early
        routerAlarmAt = now >= routerAlarmAt ? NEVER : routerAlarmAt;
        next.beginBatch(now);
        for (int i = 0; i < trafficClasses.size(); i++) {
            TrafficClass trafficClass = trafficClasses.get(i);
            trafficClass.closeWindow(now);
            if (trafficClass.concurrencyLimit.overloaded() && trafficClass.queue.length() == 0
                    && trafficClass.queue.reserved.isEmpty()
                    && trafficClass.concurrencyLimit.inFlight() < trafficClass.concurrencyLimit.current() / 2
                    && now - 4 * shortestSoftDeadline >= trafficClass.lastQueuedAt) {
                trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.IDLE, now, shortestSoftDeadline);
            }
        }
        if (now - 64 * shortestSoftDeadline >= reseededAt) {
            reseed();
        }
        if (now - 16 * shortestSoftDeadline >= halvedAt) {
            halvedAt = now;
            heavyHitters.halve();
        }
        if (scheduler.waiting() > 0) {
            advanceWheel();
        }
    }

    @Override public void membersListed(ListedMember.ListKind kind, List<ListedMember> entries) {
        for (ListedMember entry : entries) {
            classesByGroup.computeIfAbsent(entry.group(),
                    group -> new TrafficClass[] {newTrafficClass(), newTrafficClass()});
        }
        next.membersListed(kind, entries);
    }

    private TrafficClass newTrafficClass() {
        FairScheduler.Queue queue = scheduler.newQueue();
        TrafficClass trafficClass = new TrafficClass(queue, reservations.new Schedule(queue.index),
                shortestSoftDeadline / 16, shortestSoftDeadline / 2);
        trafficClasses.add(trafficClass);
        return trafficClass;
    }

    @Override public void rpcArrived(Rpc rpc) {
        TrafficClass[] classes = rpc.method == null ? null : classesByGroup.get(rpc.group);
        AdmissionEntry entry = new AdmissionEntry(rpc, classes == null ? null : classes[isRead(rpc.method) ? 0 : 1],
                tenantIndex(rpc), now);
        rpc.stageState = entry;
        entry.sampled = (++arrivals & 3) == 0;
        tenantCounters.get(entry.tenant).arrived++;
        apply(entry, Input.ARRIVED);
    }

    private int tenantIndex(Rpc rpc) {
        Integer index = rpc.tenant == null ? null : tenantIndexes.get(rpc.tenant);
        return index == null ? tenantCounters.size() - 1 : index;
    }

    /**
     * Whether a delay or a pushback of this RPC by the Router shows a lack of capacity. True of writes and of reads
     * that any replica may serve now; a read that needs recent data may be waiting for replication instead.
     */
    private static boolean limitedByCapacityOnly(Rpc rpc) {
        Method.Consistency consistency = rpc.method.consistency();
        return consistency != Method.Consistency.BOUNDED
                && (consistency != Method.Consistency.SESSION || rpc.sessionTokenAge == 0);
    }

    /**
     * Whether the times of this RPC are recorded: all under overload, else one RPC in four, since recording costs more
     * than everything else that is done for an RPC without overload.
     */
    private static boolean isMeasured(AdmissionEntry entry) {
        return entry.trafficClass == null || entry.trafficClass.concurrencyLimit.overloaded() || entry.sampled;
    }

    private static boolean isRead(Method method) {
        return method.consistency() != Method.Consistency.WRITE && method.consistency() != Method.Consistency.FRESH;
    }

    @Override public void callOutEnded(CallOut callOut, Outcome outcome, long latency, boolean ended, long position,
            Role role, LoadReport report) {
        AdmissionEntry entry = (AdmissionEntry) callOut.rpc.stageState;
        if (outcome == Outcome.OK && isMeasured(entry)) {
            costsOf(callOut.rpc.method).add(latency);
        }
        if (outcome == Outcome.FULL && entry.trafficClass != null) {
            entry.trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.REJECTED, now,
                    meanServiceTime(entry.trafficClass));
        }
        if (ended && outcome == Outcome.OK) {
            apply(entry, Input.ANSWERED);
        }
        next.callOutEnded(callOut, outcome, latency, ended, position, role, report);
    }

    @Override public void sendCallOut(CallOut callOut, long limit) {
        AdmissionEntry entry = (AdmissionEntry) callOut.rpc.stageState;
        if (!entry.calledOut && entry.trafficClass != null && limitedByCapacityOnly(callOut.rpc)) {
            entry.heldByRouter = now > entry.admittedAt;
            // without a recent answer the members are gone or unknown rather than full
            boolean groupAnswers = now - shortestSoftDeadline <= entry.trafficClass.lastOkAt;
            if (groupAnswers && (entry.heldByRouter || entry.trafficClass.concurrencyLimit.overloaded())) {
                entry.trafficClass.holdTimes.add((long) ((double) (now - entry.admittedAt) * shortestSoftDeadline
                        / callOut.rpc.method.softDeadline()));
            }
        }
        entry.calledOut = true;
        actions.sendCallOut(callOut, limit);
    }

    @Override public void clientGone(Rpc rpc) {
        AdmissionEntry entry = (AdmissionEntry) rpc.stageState;
        apply(entry, Input.TERMINATED);
        if (entry.forwarded) { // the Router doesn't know RPCs that only waited here
            next.clientGone(rpc);
        }
    }

    @Override public String explain(Rpc rpc) {
        return ((AdmissionEntry) rpc.stageState).forwarded ? next.explain(rpc) : "at the door, " + pushbackReason;
    }

    @Override public void deadlineShortened(Rpc rpc) {
        AdmissionEntry entry = (AdmissionEntry) rpc.stageState;
        // a shutdown shortens deadlines: a waiting RPC then expires earlier, so that it is answered before the shutdown
        if (entry.state == State.WAITING) {
            removeFromWheel(entry);
            entry.expiresAt = Math.min(entry.expiresAt,
                    entry.arrivedAt + (rpc.deadline - entry.arrivedAt) / 2 - wheelSlotWidth);
            addToWheel(entry);
        } else if (entry.forwarded) {
            next.deadlineShortened(rpc);
        }
    }

    @Override public void pushBack(Rpc rpc, long retryAfter) {
        pushbackReason = PushbackReason.MEMBERS;
        AdmissionEntry entry = (AdmissionEntry) rpc.stageState;
        tenantCounters.get(entry.tenant).pushbacks[PushbackReason.MEMBERS.ordinal()]++;
        apply(entry, Input.PUSHED_BACK);
        actions.pushBack(rpc, entry.trafficClass == null ? retryAfter : retryAfterRouterPushback(entry, retryAfter));
    }

    @Override public void abort(Rpc rpc) {
        apply((AdmissionEntry) rpc.stageState, Input.TERMINATED);
        actions.abort(rpc);
    }

    @Override public void endBatch() {
        do {
            capacityFreed = false;
            for (int i = 0; i < trafficClasses.size() && scheduler.waiting() > 0; i++) {
                TrafficClass trafficClass = trafficClasses.get(i);
                while (trafficClass.concurrencyLimit.hasCapacity()) {
                    AdmissionEntry entry = scheduler.poll(trafficClass.queue);
                    if (entry == null) {
                        break;
                    }
                    apply(entry, Input.SCHEDULED);
                }
            }
            next.endBatch();
        } while (capacityFreed && scheduler.waiting() > 0);
        long wakeAt = scheduler.waiting() > 0 ? Math.min(now + wheelSlotWidth, routerAlarmAt) : routerAlarmAt;
        if (wakeAt < alarmAt) {
            alarmAt = wakeAt;
            actions.scheduleWakeUp(Math.max(tick, wakeAt - now));
        }
    }

    @Override public void scheduleWakeUp(long delay) {
        routerAlarmAt = Math.min(routerAlarmAt, now + delay);
    }

    // ---- Conditions and actions of the transitions ----

    /**
     * Whether it can be admitted without waiting: nothing waits and the concurrency limit isn't reached. Without
     * overload and outstanding reservations nothing else is checked.
     */
    private boolean canAdmitAtOnce(AdmissionEntry entry) {
        if (!entry.trafficClass.concurrencyLimit.hasCapacity()) {
            entry.trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.BURST, now,
                    meanServiceTime(entry.trafficClass));
        }
        boolean canEnter = entry.trafficClass.concurrencyLimit.hasCapacity() && entry.queue.length() == 0
                && entry.queue.reserved.isEmpty();
        entry.reserved = (entry.trafficClass.concurrencyLimit.overloaded() || reservations.mayHaveOutstanding(now))
                && redeemReservation(entry);
        return canEnter;
    }

    /** Whether it arrived at its retry-after and can still wait in the queue of reserved entries. */
    private boolean canQueueReserved(AdmissionEntry entry) {
        entry.reserved = entry.reserved && now + wheelSlotWidth <= entry.expiresAt && ensurePlace(entry);
        return entry.reserved;
    }

    /**
     * Whether the client arrives at the retry-after that it was given. Called once per RPC, since it consumes the
     * reservation.
     */
    private boolean redeemReservation(AdmissionEntry entry) {
        estimate(entry);
        RetryReservations.Schedule schedule = entry.trafficClass.schedule;
        clientsMarkRetries |= entry.rpc.retry;
        // once clients are known to mark retries, an RPC without the mark can't be the retry that has the reservation
        boolean eligible = entry.rpc.retry || !clientsMarkRetries;
        boolean redeemed = eligible && (schedule.redeem(entry.clientKey, now)
                || previousHasher != hasher && schedule.redeem(clientKey(previousHasher, entry.rpc), now));
        if (redeemed) {
            tenantCounters.get(entry.tenant).redeemed++;
        } else if (schedule.isEarly(entry.clientKey, now)) {
            tenantCounters.get(entry.tenant).earlyRetries++; // the reservation stays, for another RPC of the client
        }
        return redeemed;
    }

    /** Whether it is expected to be admitted before it expires, and there is a place for it in the queue. */
    private boolean canAdmitInTime(AdmissionEntry entry) {
        pushbackReason = PushbackReason.NO_TIME;
        return now + Math.max(expectedWait(entry), wheelSlotWidth) <= entry.expiresAt && ensurePlace(entry);
    }

    /** Sets the entry's client key, expected cost, utility per work and expiry. Needed only under overload. */
    private void estimate(AdmissionEntry entry) {
        Method method = entry.rpc.method;
        entry.clientKey = clientKey(hasher, entry.rpc);
        entry.cost = Math.max(1, costsOf(method).quantile(0.25, shortestSoftDeadline / 16));
        entry.utilityPerWork = method.utility() / entry.cost;
        long halfTimeLeft = (entry.rpc.deadline - entry.arrivedAt) / 2 - wheelSlotWidth;
        long queueTimeLimit = method.lateUtilityShare() > 0 ? halfTimeLeft
                : method.softDeadline() - meanServiceTime(entry.trafficClass);
        entry.expiresAt = entry.arrivedAt + Math.min(queueTimeLimit, halfTimeLeft);
        heavyHitters.addWork(stableKey(entry.rpc), entry.rpc, entry.cost);
    }

    /** A key of tenant and client that doesn't change with the seed, for the heavy-hitter counts. */
    private long stableKey(Rpc rpc) { return clientKey(firstHasher, rpc) + tenantIndex(rpc); }

    /**
     * Expected time in the queue: the time to serve the client's queued work and this RPC in round robin with the
     * tenant's other flows, or all queued work where that is less; no shorter than the rate at which the client has
     * recently been served implies.
     */
    private long expectedWait(AdmissionEntry entry) {
        TrafficClass trafficClass = entry.trafficClass;
        FairScheduler.Queue queue = entry.queue;
        double workRate = trafficClass.workRate(meanServiceTime(trafficClass), entry.cost);
        double share = queue.share(entry.tenant, weights[entry.tenant]);
        long clientWork = scheduler.queuedWork(queue, entry.tenant, entry.clientKey);
        int tenantFlows = queue.flowCount(entry.tenant) + (clientWork == 0 ? 1 : 0);
        // a round serves each flow of the tenant once
        double workAhead = (double) (clientWork + entry.cost) * tenantFlows / share;
        double servedRate = scheduler.servedRate(queue, entry.tenant, entry.clientKey, now, shortestSoftDeadline / 4);
        // the rate that others leave to the client can be lower than its share of the rounds
        double observedWait = servedRate > 0 ? (clientWork + entry.cost) / servedRate * 1e9 : 0;
        return (long) Math.max(observedWait, Math.min(workAhead, queue.queuedWork()) / workRate * 1e9);
    }

    /**
     * Whether there is a place in the queue. Where all places are taken, the last entry of the longest flow in a random
     * sample is evicted, unless the flow of this entry would become as long.
     */
    private boolean ensurePlace(AdmissionEntry entry) {
        if (!scheduler.full()) {
            return true;
        }
        pushbackReason = PushbackReason.FULL;
        AdmissionEntry candidate = scheduler.evictionCandidate(nextRandom());
        if (candidate == null || candidate.queue == entry.queue && candidate.clientKey == entry.clientKey
                && candidate.tenant == entry.tenant
                || flowLength(candidate) <= scheduler.flowLength(entry.queue, entry.tenant, entry.clientKey) + 1) {
            return false;
        }
        apply(candidate, Input.EVICTED);
        return true;
    }

    private int flowLength(AdmissionEntry entry) {
        return scheduler.flowLength(entry.queue, entry.tenant, entry.clientKey);
    }

    private void enqueueReserved(AdmissionEntry entry) { enqueue(entry); }

    private void enqueue(AdmissionEntry entry) {
        entry.trafficClass.markSaturated();
        entry.trafficClass.lastQueuedAt = now;
        tenantCounters.get(entry.tenant).waited++;
        scheduler.add(entry.queue, entry, now);
        if (scheduler.waiting() == 1) {
            wheelPosition = now / wheelSlotWidth; // the wheel doesn't advance while nothing waits
        }
        addToWheel(entry);
    }

    private void forward(AdmissionEntry entry) {
        entry.admittedAt = now;
        entry.forwarded = true;
        next.rpcArrived(entry.rpc);
    }

    private void admit(AdmissionEntry entry) {
        removeFromWheel(entry);
        tenantCounters.get(entry.tenant).admitted++;
        entry.trafficClass.concurrencyLimit.acquire();
        entry.rpc.retry &= !entry.reserved; // a retry at its retry-after was asked for: a first attempt to the Router
        forward(entry);
    }

    private void reject(AdmissionEntry entry) {
        tenantCounters.get(entry.tenant).pushbacks[pushbackReason.ordinal()]++;
        entry.trafficClass.markSaturated();
        entry.trafficClass.lastQueuedAt = now;
        heavyHitters.recordPushback(stableKey(entry.rpc));
        actions.pushBack(entry.rpc, reserveRetryAfter(entry));
    }

    /** Pushes back an RPC that can no longer be answered in time. */
    private void expire(AdmissionEntry entry) {
        pushbackReason = PushbackReason.LATE;
        dequeue(entry);
        reject(entry);
    }

    /** Pushes back an RPC whose place is needed for an RPC of a shorter flow. */
    private void evict(AdmissionEntry entry) {
        pushbackReason = PushbackReason.FULL;
        dequeue(entry);
        reject(entry);
    }

    private void dequeue(AdmissionEntry entry) {
        removeFromWheel(entry);
        scheduler.remove(entry);
    }

    private void release(AdmissionEntry entry) {
        if (entry.trafficClass != null) {
            entry.trafficClass.concurrencyLimit.release();
            capacityFreed = true;
        }
    }

    private void recordAnswer(AdmissionEntry entry) {
        release(entry);
        TrafficClass trafficClass = entry.trafficClass;
        if (trafficClass == null) {
            return;
        }
        long serviceTime = now - entry.admittedAt;
        Method method = entry.rpc.method;
        if (isMeasured(entry)) {
            trafficClass.serviceTimes.add(serviceTime);
        }
        trafficClass.lastOkAt = now;
        if (entry.reserved && now - entry.arrivedAt <= method.softDeadline()) {
            tenantCounters.get(entry.tenant).redeemedInTime++;
        }
        if (!trafficClass.concurrencyLimit.overloaded() && !entry.heldByRouter) {
            return; // without overload the answer shows nothing about the capacity
        }
        trafficClass.recordServed(costsOf(method).quantile(0.25, shortestSoftDeadline / 16));
        long meanHoldTime = trafficClass.holdTimes.mean(0);
        if (meanHoldTime > shortestSoftDeadline / 32) {
            trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.SLOW_ANSWER, now,
                    meanServiceTime(trafficClass));
        } else if (meanHoldTime <= shortestSoftDeadline / 64) {
            trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.FAST_ANSWER, now,
                    meanServiceTime(trafficClass));
        }
    }

    /**
     * Records that the Router pushed back an admitted RPC. This counts as a lack of capacity only if the RPC needs no
     * recent data and the group has answered recently, since the Router also pushes back because replicas lag or no
     * primary is known.
     */
    private void recordPushback(AdmissionEntry entry) {
        release(entry);
        TrafficClass trafficClass = entry.trafficClass;
        if (trafficClass == null) {
            return;
        }
        trafficClass.markSaturated();
        if (limitedByCapacityOnly(entry.rpc) && now - shortestSoftDeadline <= trafficClass.lastOkAt) {
            // the Router holds an admitted RPC for up to this long before it pushes it back
            trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.REJECTED, now,
                    Math.max(meanServiceTime(trafficClass), shortestSoftDeadline / 4));
        }
    }

    // ---- Retry-after, costs, client keys ----

    /** The retry-after of an RPC that the Router pushed back: the Router's without overload, else a reserved one. */
    private long retryAfterRouterPushback(AdmissionEntry entry, long routerRetryAfter) {
        if (entry.trafficClass.concurrencyLimit.overloaded()) {
            return reserveRetryAfter(entry);
        }
        return routerRetryAfter <= 0 ? routerRetryAfter
                : entry.trafficClass.schedule.record(clientKey(hasher, entry.rpc), now, routerRetryAfter);
    }

    /**
     * Reserves a retry-after for the client: when enough of its queued work will have been served for one more RPC to
     * be answered in time. Returns 0 if no retry-after can be given.
     */
    private long reserveRetryAfter(AdmissionEntry entry) {
        if (maxRetryAfter <= 0 || entry.trafficClass == null) {
            return 0;
        }
        if (entry.cost == 0) {
            estimate(entry);
        }
        TrafficClass trafficClass = entry.trafficClass;
        long allowedWait = entry.rpc.method.softDeadline() / 2;
        long delay = Math.max(0, expectedWait(entry) - allowedWait);
        return trafficClass.schedule.reserve(entry.clientKey, now, delay,
                trafficClass.rpcRate(meanServiceTime(trafficClass)) / 2);
    }

    private long meanServiceTime(TrafficClass trafficClass) {
        return trafficClass.serviceTimes.mean(shortestSoftDeadline / 4);
    }

    private LatencyHistogram costsOf(Method method) {
        return costsByMethod.computeIfAbsent(method,
                x -> new LatencyHistogram(Math.max(1, shortestSoftDeadline / 256)));
    }

    private long clientKey(Hasher64 seededHasher, Rpc rpc) {
        String identity = rpc.clientId != null ? rpc.clientId : rpc.tenant;
        return identity == null ? 0 : seededHasher.hashCharsToLong(identity);
    }

    /**
     * Changes the seed of the client keys, so that no two clients share a key for long, which happens by chance or when
     * a client finds a collision on purpose. Waiting entries move to the flows of their new keys in order of arrival.
     */
    private void reseed() {
        reseededAt = now;
        previousHasher = hasher;
        hasher = Hashing.komihash5_0(nextRandom() << 32 | nextRandom());
        if (scheduler.waiting() == 0) {
            return;
        }
        List<AdmissionEntry> waiting = new ArrayList<>();
        for (AdmissionEntry slotHead : timerWheel) {
            for (AdmissionEntry entry = slotHead; entry != null; entry = entry.wheelNext) {
                waiting.add(entry);
            }
        }
        waiting.sort(java.util.Comparator.comparingLong((AdmissionEntry entry) -> entry.arrivedAt)
                .thenComparingInt(entry -> entry.entryIndex));
        waiting.forEach(scheduler::remove);
        for (AdmissionEntry entry : waiting) {
            entry.clientKey = clientKey(hasher, entry.rpc);
            scheduler.add(entry.queue, entry, now);
        }
    }

    /** A reproducible pseudo-random number of 32 bits: CRC-32 of the seed in the settings and a counter. */
    private long nextRandom() {
        crc.reset();
        crc.update(randomInput.putLong(0, settings.seed()).putLong(8, randomCounter++).rewind());
        return crc.getValue();
    }

    // ---- Timer wheel: each waiting entry expires within one slot width of its time ----

    private void addToWheel(AdmissionEntry entry) {
        long slotsAhead = Math.max(1, Math.min(timerWheel.length - 1, (entry.expiresAt - now) / wheelSlotWidth));
        entry.wheelSlot = (int) ((now / wheelSlotWidth + slotsAhead) % timerWheel.length);
        entry.wheelNext = timerWheel[entry.wheelSlot];
        if (entry.wheelNext != null) {
            entry.wheelNext.wheelPrevious = entry;
        }
        timerWheel[entry.wheelSlot] = entry;
    }

    private void removeFromWheel(AdmissionEntry entry) {
        if (entry.wheelSlot < 0) {
            return;
        }
        if (entry.wheelPrevious == null) {
            timerWheel[entry.wheelSlot] = entry.wheelNext;
        } else {
            entry.wheelPrevious.wheelNext = entry.wheelNext;
        }
        if (entry.wheelNext != null) {
            entry.wheelNext.wheelPrevious = entry.wheelPrevious;
        }
        entry.wheelNext = entry.wheelPrevious = null;
        entry.wheelSlot = -1;
    }

    private void advanceWheel() {
        long currentSlot = now / wheelSlotWidth;
        long firstSlot = Math.max(wheelPosition + 1, currentSlot - timerWheel.length + 1);
        for (long slot = firstSlot; slot <= currentSlot && scheduler.waiting() > 0; slot++) {
            while (timerWheel[(int) (slot % timerWheel.length)] != null) {
                apply(timerWheel[(int) (slot % timerWheel.length)], Input.EXPIRED);
            }
        }
        wheelPosition = currentSlot;
    }

    // ---- Statistics ----

    @Override public void addCounters(Map<String, Long> counts) {
        for (TenantCounters tenant : tenantCounters) {
            counts.merge("fair.waited", tenant.waited, Long::sum);
            counts.merge("fair.early", tenant.earlyRetries, Long::sum);
            counts.merge("fair.astold", tenant.redeemed, Long::sum);
            for (PushbackReason reason : PushbackReason.values()) {
                counts.merge("fair.back." + reason.name().toLowerCase(Locale.ROOT), tenant.pushbacks[reason.ordinal()],
                        Long::sum);
            }
        }
        for (TrafficClass trafficClass : trafficClasses) {
            counts.merge("fair.pressed", trafficClass.concurrencyLimit.overloadCount(), Long::sum);
        }
        super.addCounters(counts);
    }

    /**
     * Tables of SHOW. clients: those that asked for most work under overload; tenants: counters of their RPCs; ways:
     * concurrency limit, queue and rate of each traffic class.
     */
    @Override public List<String[]> statisticsTable(String table) {
        List<String[]> rows = new ArrayList<>();
        switch (table) {
            case "clients" -> {
                rows.add(new String[] {"client", "work_ms", "error_ms", "pushed_back"});
                rows.addAll(heavyHitters.rows());
            }
            case "tenants" -> {
                rows.add(new String[] {"tenant", "weight", "taken", "waited", "let_in", "early", "as_told",
                    "as_told_in_time", "back_no_time", "back_full", "back_late", "back_members"});
                for (int i = 0; i < weights.length; i++) {
                    TenantCounters tenant = tenantCounters.get(i);
                    rows.add(new String[] {tenant.name, Double.toString(weights[i]), "" + tenant.arrived,
                        "" + tenant.waited, "" + tenant.admitted, "" + tenant.earlyRetries, "" + tenant.redeemed,
                        "" + tenant.redeemedInTime, "" + tenant.pushbacks[0], "" + tenant.pushbacks[1],
                        "" + tenant.pushbacks[2], "" + tenant.pushbacks[3]});
                }
            }
            case "ways" -> {
                rows.add(new String[] {"way", "pressed", "room", "inside", "waiting", "per_second", "usual_ms"});
                for (TrafficClass trafficClass : trafficClasses) {
                    rows.add(new String[] {"" + trafficClass.queue.index,
                        "" + trafficClass.concurrencyLimit.overloaded(),
                        trafficClass.concurrencyLimit.overloaded() ? "" + (int) trafficClass.concurrencyLimit.current()
                                : "", "" + trafficClass.concurrencyLimit.inFlight(),
                        "" + (trafficClass.queue.length() + trafficClass.queue.reserved.size()),
                        "" + (long) trafficClass.rpcRate(meanServiceTime(trafficClass)),
                        "" + meanServiceTime(trafficClass) / 1_000_000});
                }
            }
            default -> {
                return super.statisticsTable(table);
            }
        }
        return rows;
    }
}
