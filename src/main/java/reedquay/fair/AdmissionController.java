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
import reedquay.core.RoutingActions;
import reedquay.core.Latency;
import reedquay.core.ListedMember;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.LoadReport;
import reedquay.core.Role;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.Stage;

/**
 * Who waits at the door, who goes in next, and what one that is turned away is told. It stands before the Router, which
 * alone decides which member, whether again, and what is turned away for a member's sake. What waits here has provably
 * never run, so that it may always be pushed back; what was let in is out of its hands. In this order: the table of an
 * RPC's way, the state, the inputs, the table's conditions and effects, room, what is shown.
 */
public final class AdmissionController extends Stage {
    enum State { NEW, WAITING, ADMITTED, FINISHED }

    enum Input { ARRIVED, SCHEDULED, EXPIRED, EVICTED, ANSWERED, PUSHED_BACK, TERMINATED }

    private record Transition(State state, Input input, BiPredicate<AdmissionController, AdmissionEntry> condition, State nextState,
            BiConsumer<AdmissionController, AdmissionEntry> action) { }

    private static final BiPredicate<AdmissionController, AdmissionEntry> ALWAYS = (d, t) -> true;
    private static final BiPredicate<AdmissionController, AdmissionEntry> RPC_ENDED = (d, t) -> t.rpc.ended;
    private static final BiPredicate<AdmissionController, AdmissionEntry> NO_TRAFFIC_CLASS = (d, t) -> t.trafficClass == null;

    /** The way of an RPC: the first row whose state, input and condition hold is taken. */
    private static final Transition[] TRANSITIONS = {
        new Transition(State.NEW, Input.ARRIVED, NO_TRAFFIC_CLASS, State.ADMITTED, AdmissionController::forward), // the Router says what to do
        new Transition(State.NEW, Input.ARRIVED, AdmissionController::canEnterAtOnce, State.ADMITTED, AdmissionController::admit),
        new Transition(State.NEW, Input.ARRIVED, AdmissionController::canQueueReserved, State.WAITING, AdmissionController::enqueueReserved),
        new Transition(State.NEW, Input.ARRIVED, AdmissionController::canStartInTime, State.WAITING, AdmissionController::enqueue),
        new Transition(State.NEW, Input.ARRIVED, ALWAYS, State.FINISHED, AdmissionController::reject),
        new Transition(State.WAITING, Input.SCHEDULED, RPC_ENDED, State.FINISHED, AdmissionController::removeFromWheel), // its client has left
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
            if (transition.state == entry.state && transition.input == input && transition.condition.test(this, entry)) {
                entry.state = transition.nextState;
                transition.action.accept(this, entry);
                return;
            }
        }
    }

    // ---- State ----

    /** Why one was pushed back here; the order of the counts. */
    enum PushbackReason { NO_TIME, FULL, LATE, MEMBERS }

    /** What became of a tenant's RPCs. */
    private static final class TenantCounters {
        final String name;
        final double defaultWeight; // a second, as the settings have it
        long arrived;
        long waited;
        long admitted;
        long earlyRetries;
        long redeemed;
        long redeemedInTime;
        final long[] pushbacks = new long[PushbackReason.values().length];

        TenantCounters(String name, double defaultWeight) {
            this.name = name;
            this.defaultWeight = defaultWeight;
        }
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final int HEAVY_HITTER_COUNT = 64;

    private final Settings settings;
    private final long tick;
    private final long shortestSoftDeadline; // the shortest soft deadline
    private final long wheelSlotWidth;
    private final long maxRetryAfter; // to come back
    private final Map<String, Integer> tenantIndexes = new HashMap<>(); // never walked through
    private final List<TenantCounters> tenantCounters = new ArrayList<>();
    private final double[] weights;
    private final Map<Integer, TrafficClass[]> classesByGroup = new HashMap<>(); // reads, writes; never walked through
    private final List<TrafficClass> trafficClasses = new ArrayList<>();
    private final FairScheduler scheduler;
    private final RetryReservations reservations;
    private final HeavyHitters heavyHitters = new HeavyHitters(HEAVY_HITTER_COUNT);
    private final Map<Method, Latency> costsByMethod = new IdentityHashMap<>(); // never walked through
    private final AdmissionEntry[] timerWheel; // by the time at which they can no longer be answered
    private final CRC32 crc = new CRC32();
    private final ByteBuffer randomInput = ByteBuffer.allocate(2 * Long.BYTES);
    private final Hasher64 firstHasher;
    private Hasher64 hasher;
    private Hasher64 previousHasher; // that of the seed before, for promises made under it
    private long reseededAt;
    private long randomCounter;
    private long arrivals;
    private long now;
    private long wheelPosition;
    private long routerAlarmAt = NEVER;
    private long alarmAt = NEVER;
    private long halvedAt;
    private PushbackReason why;
    private boolean clientsMarkRetries; // clients have been seen to mark further tries
    private boolean capacityFreed;

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
        tenantCounters.add(new TenantCounters("others", smallestQuota == NEVER ? 1 : smallestQuota)); // whatever their number, they weigh as one
        weights = new double[tenantCounters.size()];
        setWeights(admissionSettings.tenantWeights());
        scheduler = new FairScheduler(admissionSettings.maxWaiting(), weights);
        scheduler.setQuantum(shortestSoftDeadline / 16);
        reservations = new RetryReservations(Math.max(1, shortestSoftDeadline / 8), maxRetryAfter, shortestSoftDeadline / 8, admissionSettings.maxWaiting());
        reseed();
        previousHasher = firstHasher = hasher;
    }

    /** Takes on weights while it runs; tenants that are not named weigh what their share is in the settings. */
    public void setWeights(Map<String, Double> weightByName) {
        double[] weightByTenant = tenantCounters.stream().mapToDouble(tenant -> weightByName.getOrDefault(tenant.name, tenant.defaultWeight)).toArray();
        double smallest = Arrays.stream(weightByTenant).min().orElse(1);
        Arrays.setAll(weights, i -> weightByTenant[i] / smallest);
        trafficClasses.forEach(trafficClass -> scheduler.weightsChanged(trafficClass.queue));
    }

    /** Bytes that it holds from its start on, whatever the number of callers. */
    public long memoryBytes() {
        return scheduler.memoryBytes() + reservations.memoryBytes() + 8L * timerWheel.length + HEAVY_HITTER_COUNT * 40L;
    }

    // ---- Inputs ----

    @Override public void beginBatch(long time) {
        now = time;
        alarmAt = now + tick >= alarmAt ? NEVER : alarmAt; // by a coarser clock it rings early
        routerAlarmAt = now >= routerAlarmAt ? NEVER : routerAlarmAt;
        next.beginBatch(now);
        for (int i = 0; i < trafficClasses.size(); i++) {
            TrafficClass trafficClass = trafficClasses.get(i);
            trafficClass.closeWindow(now);
            if (trafficClass.concurrencyLimit.overloaded() && trafficClass.queue.length() == 0 && trafficClass.queue.reserved.isEmpty()
                    && trafficClass.concurrencyLimit.inFlight() < trafficClass.concurrencyLimit.current() / 2 && now - 4 * shortestSoftDeadline >= trafficClass.lastQueuedAt) {
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
            classesByGroup.computeIfAbsent(entry.group(), g -> new TrafficClass[] {newTrafficClass(), newTrafficClass()});
        }
        next.membersListed(kind, entries);
    }

    private TrafficClass newTrafficClass() {
        FairScheduler.Queue queue = scheduler.newQueue();
        TrafficClass trafficClass = new TrafficClass(queue, reservations.new Schedule(queue.index), shortestSoftDeadline / 16, shortestSoftDeadline / 2);
        trafficClasses.add(trafficClass);
        return trafficClass;
    }

    @Override public void rpcArrived(Rpc rpc) {
        TrafficClass[] classes = rpc.method == null ? null : classesByGroup.get(rpc.group);
        AdmissionEntry entry = new AdmissionEntry(rpc, classes == null ? null : classes[isRead(rpc.method) ? 0 : 1], tenantIndex(rpc), now);
        rpc.filterState = entry;
        entry.sampled = (++arrivals & 3) == 0;
        tenantCounters.get(entry.tenant).arrived++;
        apply(entry, Input.ARRIVED);
    }

    private int tenantIndex(Rpc rpc) {
        Integer index = rpc.tenant == null ? null : tenantIndexes.get(rpc.tenant);
        return index == null ? tenantCounters.size() - 1 : index;
    }

    /**
     * Whether its being held or turned away shows a want of room: a write, or a read that any replica may serve now.
     * What waits for data to be recent enough waits for something else.
     */
    private static boolean limitedByCapacityOnly(Rpc rpc) {
        Method.Consistency consistency = rpc.method.consistency();
        return consistency != Method.Consistency.BOUNDED && (consistency != Method.Consistency.SESSION || rpc.sessionTokenAge == 0);
    }

    /** Without pressure one in four is measured: it costs more than all else that is done for an RPC then. */
    private static boolean isMeasured(AdmissionEntry entry) {
        return entry.trafficClass == null || entry.trafficClass.concurrencyLimit.overloaded() || entry.sampled;
    }

    private static boolean isRead(Method method) {
        return method.consistency() != Method.Consistency.WRITE && method.consistency() != Method.Consistency.FRESH;
    }

    @Override public void callOutEnded(CallOut callOut, Outcome outcome, long took, boolean ended, long position, Role role,
            LoadReport report) {
        AdmissionEntry entry = (AdmissionEntry) callOut.rpc.filterState;
        if (outcome == Outcome.OK && isMeasured(entry)) {
            costsOf(callOut.rpc.method).add(took);
        }
        if (outcome == Outcome.FULL && entry.trafficClass != null) {
            entry.trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.REJECTED, now, meanServiceTime(entry.trafficClass));
        }
        if (ended && outcome == Outcome.OK) {
            apply(entry, Input.ANSWERED);
        }
        next.callOutEnded(callOut, outcome, took, ended, position, role, report);
    }

    @Override public void sendCallOut(CallOut callOut, long limit) {
        AdmissionEntry entry = (AdmissionEntry) callOut.rpc.filterState;
        if (!entry.calledOut && entry.trafficClass != null && limitedByCapacityOnly(callOut.rpc)) {
            entry.heldByRouter = now > entry.admittedAt;
            boolean groupAnswers = now - shortestSoftDeadline <= entry.trafficClass.lastOkAt; // else it is gone or unknown, and not full
            if (groupAnswers && (entry.heldByRouter || entry.trafficClass.concurrencyLimit.overloaded())) {
                entry.trafficClass.holdTimes.add((long) ((double) (now - entry.admittedAt) * shortestSoftDeadline / callOut.rpc.method.softDeadline()));
            }
        }
        entry.calledOut = true;
        actions.sendCallOut(callOut, limit);
    }

    @Override public void clientGone(Rpc rpc) {
        AdmissionEntry entry = (AdmissionEntry) rpc.filterState;
        apply(entry, Input.TERMINATED);
        if (entry.forwarded) { // the Router knows of no other
            next.clientGone(rpc);
        }
    }

    @Override public String explain(Rpc rpc) {
        return ((AdmissionEntry) rpc.filterState).forwarded ? next.explain(rpc) : "at the door, " + why;
    }

    @Override public void deadlineShortened(Rpc rpc) {
        AdmissionEntry entry = (AdmissionEntry) rpc.filterState;
        if (entry.state == State.WAITING) { // guards what waits against a stop that comes before its turn
            removeFromWheel(entry);
            entry.expiresAt = Math.min(entry.expiresAt, entry.arrivedAt + (rpc.deadline - entry.arrivedAt) / 2 - wheelSlotWidth);
            addToWheel(entry);
        } else if (entry.forwarded) {
            next.deadlineShortened(rpc);
        }
    }

    @Override public void pushBack(Rpc rpc, long after) {
        why = PushbackReason.MEMBERS;
        AdmissionEntry entry = (AdmissionEntry) rpc.filterState;
        tenantCounters.get(entry.tenant).pushbacks[PushbackReason.MEMBERS.ordinal()]++;
        apply(entry, Input.PUSHED_BACK);
        actions.pushBack(rpc, entry.trafficClass == null ? after : retryAfterRouterPushback(entry, after));
    }

    @Override public void abort(Rpc rpc) {
        apply((AdmissionEntry) rpc.filterState, Input.TERMINATED);
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

    // ---- Conditions and effects of the table ----

    /** Nobody waits there and there is room: all that is asked without pressure. */
    private boolean canEnterAtOnce(AdmissionEntry entry) {
        if (!entry.trafficClass.concurrencyLimit.hasCapacity()) {
            entry.trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.BURST, now, meanServiceTime(entry.trafficClass));
        }
        boolean canEnter = entry.trafficClass.concurrencyLimit.hasCapacity() && entry.queue.length() == 0 && entry.queue.reserved.isEmpty();
        entry.reserved = (entry.trafficClass.concurrencyLimit.overloaded() || reservations.mayHaveOutstanding(now)) && redeemReservation(entry);
        return canEnter;
    }

    private boolean canQueueReserved(AdmissionEntry entry) {
        entry.reserved = entry.reserved && now + wheelSlotWidth <= entry.expiresAt && ensurePlace(entry);
        return entry.reserved;
    }

    /** Whether the client comes when it was told to; asked once, since a promise is kept once. */
    private boolean redeemReservation(AdmissionEntry entry) {
        estimate(entry);
        RetryReservations.Schedule schedule = entry.trafficClass.schedule;
        clientsMarkRetries |= entry.rpc.retry;
        // where further tries are marked, one that is not can't be the one that was told
        boolean eligible = entry.rpc.retry || !clientsMarkRetries;
        boolean redeemed = eligible && (schedule.redeem(entry.clientKey, now)
                || previousHasher != hasher && schedule.redeem(clientKey(previousHasher, entry.rpc), now));
        if (redeemed) {
            tenantCounters.get(entry.tenant).redeemed++;
        } else if (schedule.isEarly(entry.clientKey, now)) {
            tenantCounters.get(entry.tenant).earlyRetries++; // it keeps its promise and is one more of its client's
        }
        return redeemed;
    }

    private boolean canStartInTime(AdmissionEntry entry) {
        why = PushbackReason.NO_TIME;
        return now + Math.max(expectedWait(entry), wheelSlotWidth) <= entry.expiresAt && ensurePlace(entry);
    }

    /** Who it is, what it costs, until when it can wait: asked only under pressure. */
    private void estimate(AdmissionEntry entry) {
        Method method = entry.rpc.method;
        entry.clientKey = clientKey(hasher, entry.rpc);
        entry.cost = Math.max(1, costsOf(method).quantile(0.25, shortestSoftDeadline / 16));
        entry.utilityPerWork = method.utility() / entry.cost;
        long halfTimeLeft = (entry.rpc.deadline - entry.arrivedAt) / 2 - wheelSlotWidth;
        long queueTimeLimit = method.lateUtilityShare() > 0 ? halfTimeLeft : method.softDeadline() - meanServiceTime(entry.trafficClass);
        entry.expiresAt = entry.arrivedAt + Math.min(queueTimeLimit, halfTimeLeft);
        heavyHitters.addWork(stableKey(entry.rpc), entry.rpc, entry.cost);
    }

    /** A key that stays the same under all seeds, to count by. */
    private long stableKey(Rpc rpc) { return clientKey(firstHasher, rpc) + tenantIndex(rpc); }

    /** How long it would wait: its own client's turns, or all that is before it where that is less. */
    private long expectedWait(AdmissionEntry entry) {
        TrafficClass trafficClass = entry.trafficClass;
        FairScheduler.Queue queue = entry.queue;
        double workRate = trafficClass.workRate(meanServiceTime(trafficClass), entry.cost);
        double share = queue.share(entry.tenant, weights[entry.tenant]);
        long clientWork = scheduler.queuedWork(queue, entry.tenant, entry.clientKey);
        int tenantFlows = queue.flowCount(entry.tenant) + (clientWork == 0 ? 1 : 0);
        double workAhead = (double) (clientWork + entry.cost) * tenantFlows / share; // each of its turns is one of all the others'
        double servedRate = scheduler.servedRate(queue, entry.tenant, entry.clientKey, now, shortestSoftDeadline / 4);
        double observedWait = servedRate > 0 ? (clientWork + entry.cost) / servedRate * 1e9 : 0; // what others leave is less than its turns
        return (long) Math.max(observedWait, Math.min(workAhead, queue.queuedWork()) / workRate * 1e9);
    }

    /** Where all places are taken, one of the longest flow met gives its own up, unless this one's is as long. */
    private boolean ensurePlace(AdmissionEntry entry) {
        if (!scheduler.full()) {
            return true;
        }
        why = PushbackReason.FULL;
        AdmissionEntry candidate = scheduler.evictionCandidate(nextRandom());
        if (candidate == null || candidate.queue == entry.queue && candidate.clientKey == entry.clientKey && candidate.tenant == entry.tenant
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
            wheelPosition = now / wheelSlotWidth; // it has not turned while nobody waited
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
        entry.rpc.retry &= !entry.reserved; // what was told to come is no stray retry
        forward(entry);
    }

    private void reject(AdmissionEntry entry) {
        tenantCounters.get(entry.tenant).pushbacks[why.ordinal()]++;
        entry.trafficClass.markSaturated();
        entry.trafficClass.lastQueuedAt = now;
        heavyHitters.recordPushback(stableKey(entry.rpc));
        actions.pushBack(entry.rpc, reserveRetryAfter(entry));
    }

    /** It can no longer be answered in time. */
    private void expire(AdmissionEntry entry) {
        why = PushbackReason.LATE;
        dequeue(entry);
        reject(entry);
    }

    /** Another needs its place more. */
    private void evict(AdmissionEntry entry) {
        why = PushbackReason.FULL;
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
            return; // without pressure there is nothing to learn
        }
        trafficClass.recordServed(costsOf(method).quantile(0.25, shortestSoftDeadline / 16));
        long meanHoldTime = trafficClass.holdTimes.mean(0);
        if (meanHoldTime > shortestSoftDeadline / 32) {
            trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.SLOW_ANSWER, now, meanServiceTime(trafficClass));
        } else if (meanHoldTime <= shortestSoftDeadline / 64) {
            trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.FAST_ANSWER, now, meanServiceTime(trafficClass));
        }
    }

    /**
     * Turned away inside: for want of room, as far as can be seen from here, where its data may be of any age and
     * answers come. What lags or has no primary is no matter of room.
     */
    private void recordPushback(AdmissionEntry entry) {
        release(entry);
        TrafficClass trafficClass = entry.trafficClass;
        if (trafficClass == null) {
            return;
        }
        trafficClass.markSaturated();
        if (limitedByCapacityOnly(entry.rpc) && now - shortestSoftDeadline <= trafficClass.lastOkAt) {
            trafficClass.concurrencyLimit.observe(ConcurrencyLimit.Input.REJECTED, now, Math.max(meanServiceTime(trafficClass), shortestSoftDeadline / 4)); // so long it holds what was let in
        }
    }

    // ---- Times, costs, clients ----

    /** What one that the Router turned away is told: its time while there is no pressure, else the calendar's. */
    private long retryAfterRouterPushback(AdmissionEntry entry, long after) {
        if (entry.trafficClass.concurrencyLimit.overloaded()) {
            return reserveRetryAfter(entry);
        }
        return after <= 0 ? after : entry.trafficClass.schedule.record(clientKey(hasher, entry.rpc), now, after);
    }

    /** When the client is to come: when what it has waiting will have gone far enough for one more to be in time. */
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
        return trafficClass.schedule.reserve(entry.clientKey, now, delay, trafficClass.rpcRate(meanServiceTime(trafficClass)) / 2);
    }

    private long meanServiceTime(TrafficClass trafficClass) { return trafficClass.serviceTimes.mean(shortestSoftDeadline / 4); }

    private Latency costsOf(Method method) {
        return costsByMethod.computeIfAbsent(method, x -> new Latency(Math.max(1, shortestSoftDeadline / 256)));
    }

    private long clientKey(Hasher64 seededHasher, Rpc rpc) {
        String identity = rpc.clientId != null ? rpc.clientId : rpc.tenant;
        return identity == null ? 0 : seededHasher.hashCharsToLong(identity);
    }

    /**
     * The seed by which clients are told apart changes: guards a client that happens to share a key with another, and
     * against one that found out how to. What waits moves to its new key in its order.
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
        waiting.sort(java.util.Comparator.comparingLong((AdmissionEntry entry) -> entry.arrivedAt).thenComparingInt(entry -> entry.entryIndex));
        waiting.forEach(scheduler::remove);
        for (AdmissionEntry entry : waiting) {
            entry.clientKey = clientKey(hasher, entry.rpc);
            scheduler.add(entry.queue, entry, now);
        }
    }

    private long nextRandom() {
        crc.reset();
        crc.update(randomInput.putLong(0, settings.seed()).putLong(8, randomCounter++).rewind());
        return crc.getValue();
    }

    // ---- The wheel: each waits until its moment, told within one spoke ----

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

    // ---- What is shown ----

    @Override public void addCounters(Map<String, Long> counts) {
        for (TenantCounters tenant : tenantCounters) {
            counts.merge("fair.waited", tenant.waited, Long::sum);
            counts.merge("fair.early", tenant.earlyRetries, Long::sum);
            counts.merge("fair.astold", tenant.redeemed, Long::sum);
            for (PushbackReason reason : PushbackReason.values()) {
                counts.merge("fair.back." + reason.name().toLowerCase(Locale.ROOT), tenant.pushbacks[reason.ordinal()], Long::sum);
            }
        }
        for (TrafficClass trafficClass : trafficClasses) {
            counts.merge("fair.pressed", trafficClass.concurrencyLimit.overloadCount(), Long::sum);
        }
        super.addCounters(counts);
    }

    /** clients: the heaviest under pressure; tenants: what became of their RPCs; ways: room and rate. */
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
                    rows.add(new String[] {tenant.name, Double.toString(weights[i]), "" + tenant.arrived, "" + tenant.waited,
                        "" + tenant.admitted, "" + tenant.earlyRetries, "" + tenant.redeemed, "" + tenant.redeemedInTime, "" + tenant.pushbacks[0],
                        "" + tenant.pushbacks[1], "" + tenant.pushbacks[2], "" + tenant.pushbacks[3]});
                }
            }
            case "ways" -> {
                rows.add(new String[] {"way", "pressed", "room", "inside", "waiting", "per_second", "usual_ms"});
                for (TrafficClass trafficClass : trafficClasses) {
                    rows.add(new String[] {"" + trafficClass.queue.index, "" + trafficClass.concurrencyLimit.overloaded(),
                        trafficClass.concurrencyLimit.overloaded() ? "" + (int) trafficClass.concurrencyLimit.current() : "", "" + trafficClass.concurrencyLimit.inFlight(),
                        "" + (trafficClass.queue.length() + trafficClass.queue.reserved.size()), "" + (long) trafficClass.rpcRate(meanServiceTime(trafficClass)),
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
