package reedquay.fair;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * Fair queues of waiting entries. Each queue is served by hierarchical deficit round robin by work, over tenants by
 * weight and within a tenant over clients equally (Shreedhar and Varghese 1995), in the surplus variant of Adiseshu: an
 * entry may overdraw the credit of its flow, which pays it back in later rounds. A flow holds the waiting entries of
 * one client of one tenant in one queue, and exists only while there are any. The arrays are sized by the maximum
 * number of waiting entries, whatever the number of clients, and an idle client takes no memory. Flows are found by a
 * 64-bit key in an open-addressing hash table with about twice as many slots as flows. Invariants: a flow is in its
 * tenant's ring exactly while it holds an entry; a tenant is in its queue's ring exactly while it has a flow; entries,
 * flows and table slots are freed together. Single-threaded; reads no clock.
 */
final class FairScheduler {
    static final int NONE = -1;
    private static final int MAX_SCANNED = 8; // entries examined for one decision

    /** The queue of one traffic class: its reserved entries and the round-robin state of its tenants. */
    static final class Queue {
        final int index;
        /** Entries that arrived at their retry-after, in order of arrival; served before all others. */
        final ArrayDeque<AdmissionEntry> reserved = new ArrayDeque<>();
        private final int[] currentFlow; // by tenant: the flow served next
        private final int[] flowCount; // by tenant
        private final int[] nextTenant; // ring of the tenants that have a flow
        private final int[] previousTenant;
        private final long[] tenantCredit; // by tenant
        private final long[] tenantQueuedWork; // by tenant
        private int currentTenant = NONE; // the tenant served next
        private double activeWeight; // sum over the tenants that have a flow
        private long queuedWork; // without reserved entries
        private int length;

        private Queue(int index, int tenants) {
            this.index = index;
            currentFlow = new int[tenants];
            Arrays.fill(currentFlow, NONE);
            flowCount = new int[tenants];
            nextTenant = new int[tenants];
            previousTenant = new int[tenants];
            tenantCredit = new long[tenants];
            tenantQueuedWork = new long[tenants];
        }

        /** Queued work in the unit of the entries' costs, without reserved entries. */
        long queuedWork() { return queuedWork; }

        /** Number of waiting entries, without reserved ones. */
        int length() { return length; }

        int flowCount(int tenant) { return flowCount[tenant]; }

        long queuedWork(int tenant) { return tenantQueuedWork[tenant]; }

        /** The tenant's part of the service, from 0 to 1, while it competes with the tenants that have a flow now. */
        double share(int tenant, double weight) {
            return weight / (flowCount[tenant] > 0 ? activeWeight : activeWeight + weight);
        }
    }

    private final int tenantCount;
    private final double[] weights;
    // entries
    private final AdmissionEntry[] entries;
    private final int[] nextEntry;
    private final int[] previousEntry;
    private int freeEntry;
    private int waiting;
    // flows
    private final long[] flowKey;
    private final Queue[] flowQueue;
    private final int[] flowTenant;
    private final int[] firstEntry;
    private final int[] lastEntry;
    private final int[] entryCount;
    private final long[] flowCredit;
    private final long[] queuedWork;
    private final long[] servedWork; // work since servedSince; halved over time, see servedRate
    private final long[] servedSince;
    private final int[] nextFlow;
    private final int[] previousFlow;
    private int freeFlow;
    // hash table: key to flow
    private final int[] table;
    private final int tableMask;
    private long quantum = 1;
    private int queueCount;

    /**
     * capacity: the most entries that may wait; weights: by tenant, above zero, the smallest 1 or more. The array is
     * shared with the caller, who reports changes by weightsChanged.
     */
    FairScheduler(int capacity, double[] weights) {
        this.weights = weights;
        tenantCount = weights.length;
        entries = new AdmissionEntry[capacity];
        nextEntry = new int[capacity];
        previousEntry = new int[capacity];
        flowKey = new long[capacity];
        flowQueue = new Queue[capacity];
        flowTenant = new int[capacity];
        firstEntry = new int[capacity];
        lastEntry = new int[capacity];
        entryCount = new int[capacity];
        flowCredit = new long[capacity];
        queuedWork = new long[capacity];
        servedWork = new long[capacity];
        servedSince = new long[capacity];
        nextFlow = new int[capacity];
        previousFlow = new int[capacity];
        table = new int[Integer.highestOneBit(Math.max(2, 2 * capacity - 1)) << 1];
        tableMask = table.length - 1;
        clear();
    }

    private void clear() {
        for (int i = 0; i < entries.length; i++) {
            nextEntry[i] = nextFlow[i] = i + 1 < entries.length ? i + 1 : NONE;
            entries[i] = null;
        }
        Arrays.fill(table, NONE);
        freeEntry = freeFlow = entries.length > 0 ? 0 : NONE;
        waiting = 0;
    }

    /** Creates an empty queue for one traffic class. */
    Queue newQueue() { return new Queue(queueCount++, tenantCount); }

    /** Bytes of the arrays, constant from construction on. */
    long memoryBytes() {
        return (long) entries.length * (4 * 3 + 8 * 5 + 4 * 7) + 4L * table.length;
    }

    int capacity() { return entries.length; }

    int waiting() { return waiting; }

    boolean full() { return freeEntry == NONE; }

    /** Recomputes the sum of active weights of a queue after the weights have changed. */
    void weightsChanged(Queue queue) {
        queue.activeWeight = 0;
        for (int tenant = 0; tenant < tenantCount; tenant++) {
            queue.activeWeight += queue.flowCount[tenant] > 0 ? weights[tenant] : 0;
        }
    }

    /** Credit of a client per round; no less than the most expensive RPC costs, so that each round serves an entry. */
    void setQuantum(long work) { quantum = Math.max(1, work); }

    /** Adds an entry to the queue. The caller has checked that the scheduler isn't full. */
    void add(Queue queue, AdmissionEntry entry, long now) {
        int index = freeEntry;
        freeEntry = nextEntry[index];
        entries[index] = entry;
        entry.entryIndex = index;
        waiting++;
        if (entry.reserved) {
            entry.flowIndex = NONE;
            entry.queue.reserved.addLast(entry);
            return;
        }
        int flow = findFlow(queue, entry.tenant, entry.clientKey);
        if (flow == NONE) {
            flow = openFlow(queue, entry.tenant, entry.clientKey, now);
        }
        entry.flowIndex = flow;
        previousEntry[index] = lastEntry[flow];
        nextEntry[index] = NONE;
        if (lastEntry[flow] == NONE) {
            firstEntry[flow] = index;
        } else {
            nextEntry[lastEntry[flow]] = index;
        }
        lastEntry[flow] = index;
        entryCount[flow]++;
        addQueuedWork(flow, entry.cost);
        queue.length++;
    }

    private void addQueuedWork(int flow, long work) {
        queuedWork[flow] += work;
        flowQueue[flow].queuedWork += work;
        flowQueue[flow].tenantQueuedWork[flowTenant[flow]] += work;
    }

    /** Removes a waiting entry, and its flow if that becomes empty. */
    void remove(AdmissionEntry entry) {
        int index = entry.entryIndex;
        int flow = entry.flowIndex;
        entry.entryIndex = NONE;
        entries[index] = null;
        waiting--;
        if (flow == NONE) {
            entry.queue.reserved.remove(entry);
        } else {
            if (previousEntry[index] == NONE) {
                firstEntry[flow] = nextEntry[index];
            } else {
                nextEntry[previousEntry[index]] = nextEntry[index];
            }
            if (nextEntry[index] == NONE) {
                lastEntry[flow] = previousEntry[index];
            } else {
                previousEntry[nextEntry[index]] = previousEntry[index];
            }
            flowQueue[flow].length--;
            addQueuedWork(flow, -entry.cost);
            if (--entryCount[flow] == 0) {
                closeFlow(flow);
            }
        }
        nextEntry[index] = freeEntry;
        freeEntry = index;
    }

    /** Removes and returns the entry that is served next; null if the queue is empty. */
    AdmissionEntry poll(Queue queue) {
        AdmissionEntry entry = queue.reserved.peekFirst();
        if (entry != null) {
            charge(queue, entry.tenant, entry.clientKey, entry.cost, true);
            remove(entry);
            return entry;
        }
        if (queue.currentTenant == NONE) {
            return null;
        }
        while (queue.tenantCredit[queue.currentTenant] <= 0) {
            queue.tenantCredit[queue.currentTenant] += (long) (quantum * weights[queue.currentTenant]);
            queue.currentTenant = queue.nextTenant[queue.currentTenant];
        }
        int tenant = queue.currentTenant;
        while (flowCredit[queue.currentFlow[tenant]] <= 0) {
            flowCredit[queue.currentFlow[tenant]] += quantum;
            queue.currentFlow[tenant] = nextFlow[queue.currentFlow[tenant]];
        }
        int flow = queue.currentFlow[tenant];
        entry = mostUseful(flow);
        flowCredit[flow] -= entry.cost;
        servedWork[flow] += entry.cost;
        queue.tenantCredit[tenant] -= entry.cost;
        if (queue.nextTenant[tenant] != tenant) {
            charge(queue, tenant, entry.clientKey, entry.cost, false);
        }
        remove(entry);
        return entry;
    }

    /**
     * Charges the client's flows under other tenants for work that was served, which prevents a client from getting
     * more than its share by calling under several tenants' names; with chargeServedTenant also its flow under the
     * served tenant and that tenant's credit. The debt is limited to the credit of four rounds.
     */
    private void charge(Queue queue, int servedTenant, long clientKey, long cost, boolean chargeServedTenant) {
        int tenant = queue.currentTenant;
        if (tenant == NONE) {
            return;
        }
        do {
            int flow = tenant == servedTenant && !chargeServedTenant ? NONE : findFlow(queue, tenant, clientKey);
            if (flow != NONE) {
                flowCredit[flow] = Math.max(flowCredit[flow] - cost, -4 * quantum);
            }
            tenant = queue.nextTenant[tenant];
        } while (tenant != queue.currentTenant);
        if (chargeServedTenant && queue.flowCount[servedTenant] > 0) {
            queue.tenantCredit[servedTenant] = Math.max(queue.tenantCredit[servedTenant] - cost,
                    (long) (-4 * quantum * weights[servedTenant]));
        }
    }

    /** The entry with the highest utility per work among the first entries of the flow; of equal ones the oldest. */
    private AdmissionEntry mostUseful(int flow) {
        AdmissionEntry best = entries[firstEntry[flow]];
        int index = nextEntry[firstEntry[flow]];
        for (int i = 1; i < MAX_SCANNED && index != NONE; i++) {
            best = entries[index].utilityPerWork > best.utilityPerWork ? entries[index] : best;
            index = nextEntry[index];
        }
        return best;
    }

    /**
     * The newest entry of the longest flow in a sample of entries; null if the sample is empty. A long flow is
     * likely to be in the sample, as it has many entries.
     */
    AdmissionEntry evictionCandidate(long random) {
        AdmissionEntry longest = null;
        for (int i = 0; i < MAX_SCANNED; i++) {
            AdmissionEntry sampled = entries[(int) Long.remainderUnsigned(random + i * 0x9E3779B97F4A7C15L,
                    entries.length)];
            if (sampled != null && sampled.flowIndex != NONE
                    && (longest == null || entryCount[sampled.flowIndex] > entryCount[longest.flowIndex])) {
                longest = sampled;
            }
        }
        return longest == null ? null : entries[lastEntry[longest.flowIndex]];
    }

    /** Number of waiting entries of a client. */
    int flowLength(Queue queue, int tenant, long clientKey) {
        int flow = findFlow(queue, tenant, clientKey);
        return flow == NONE ? 0 : entryCount[flow];
    }

    /**
     * Work per second that the client has recently been served while it had entries waiting; 0 before minDuration
     * nanoseconds have passed. Once four times that have passed, older work counts half.
     */
    double servedRate(Queue queue, int tenant, long clientKey, long now, long minDuration) {
        int flow = findFlow(queue, tenant, clientKey);
        if (flow == NONE || now - minDuration < servedSince[flow]) {
            return 0;
        }
        long elapsed = now - servedSince[flow];
        double rate = servedWork[flow] * 1e9 / elapsed;
        if (elapsed > 4 * minDuration) {
            servedSince[flow] += elapsed / 2;
            servedWork[flow] /= 2;
        }
        return rate;
    }

    /** Queued work of a client. */
    long queuedWork(Queue queue, int tenant, long clientKey) {
        int flow = findFlow(queue, tenant, clientKey);
        return flow == NONE ? 0 : queuedWork[flow];
    }

    // ---- Flows and their hash table ----

    private int openFlow(Queue queue, int tenant, long clientKey, long now) {
        int flow = freeFlow;
        freeFlow = nextFlow[flow];
        flowKey[flow] = clientKey;
        flowQueue[flow] = queue;
        flowTenant[flow] = tenant;
        firstEntry[flow] = lastEntry[flow] = NONE;
        entryCount[flow] = 0;
        flowCredit[flow] = quantum;
        queuedWork[flow] = servedWork[flow] = 0;
        servedSince[flow] = now;
        if (queue.flowCount[tenant]++ == 0) {
            queue.currentFlow[tenant] = nextFlow[flow] = previousFlow[flow] = flow;
            activateTenant(queue, tenant);
        } else { // a new flow is served last in the round
            insertBefore(nextFlow, previousFlow, flow, queue.currentFlow[tenant]);
        }
        int slot = homeSlot(queue, tenant, clientKey);
        while (table[slot] != NONE) {
            slot = slot + 1 & tableMask;
        }
        table[slot] = flow;
        return flow;
    }

    private static void insertBefore(int[] nextLinks, int[] previousLinks, int inserted, int successor) {
        nextLinks[inserted] = successor;
        previousLinks[inserted] = previousLinks[successor];
        nextLinks[previousLinks[successor]] = inserted;
        previousLinks[successor] = inserted;
    }

    private void activateTenant(Queue queue, int tenant) {
        queue.activeWeight += weights[tenant];
        queue.tenantCredit[tenant] = (long) (quantum * weights[tenant]);
        if (queue.currentTenant == NONE) {
            queue.currentTenant = queue.nextTenant[tenant] = queue.previousTenant[tenant] = tenant;
        } else {
            insertBefore(queue.nextTenant, queue.previousTenant, tenant, queue.currentTenant);
        }
    }

    private void closeFlow(int flow) {
        Queue queue = flowQueue[flow];
        int tenant = flowTenant[flow];
        removeFromTable(flow);
        if (--queue.flowCount[tenant] == 0) {
            queue.currentFlow[tenant] = NONE;
            queue.activeWeight = Math.max(0, queue.activeWeight - weights[tenant]);
            queue.currentTenant = queue.currentTenant != tenant ? queue.currentTenant
                    : queue.nextTenant[tenant] == tenant ? NONE : queue.nextTenant[tenant];
            queue.nextTenant[queue.previousTenant[tenant]] = queue.nextTenant[tenant];
            queue.previousTenant[queue.nextTenant[tenant]] = queue.previousTenant[tenant];
        } else {
            queue.currentFlow[tenant] = queue.currentFlow[tenant] == flow ? nextFlow[flow] : queue.currentFlow[tenant];
            nextFlow[previousFlow[flow]] = nextFlow[flow];
            previousFlow[nextFlow[flow]] = previousFlow[flow];
        }
        flowQueue[flow] = null;
        nextFlow[flow] = freeFlow;
        freeFlow = flow;
    }

    private int homeSlot(Queue queue, int tenant, long clientKey) {
        // Fibonacci hashing is enough, as the key is a seeded hash already
        long hash = (clientKey + queue.index * 31L + tenant) * 0x9E3779B97F4A7C15L;
        return (int) (hash >>> 32) & tableMask;
    }

    private int findFlow(Queue queue, int tenant, long clientKey) {
        for (int slot = homeSlot(queue, tenant, clientKey); table[slot] != NONE; slot = slot + 1 & tableMask) {
            int flow = table[slot];
            if (flowKey[flow] == clientKey && flowQueue[flow] == queue && flowTenant[flow] == tenant) {
                return flow;
            }
        }
        return NONE;
    }

    /**
     * Removes a flow from the hash table and moves back flows that linear probing wouldn't find behind the gap (Knuth,
     * The Art of Computer Programming, 6.4, algorithm R).
     */
    private void removeFromTable(int flow) {
        int gap = homeSlot(flowQueue[flow], flowTenant[flow], flowKey[flow]);
        while (table[gap] != flow) {
            gap = gap + 1 & tableMask;
        }
        for (int slot = gap + 1 & tableMask; table[slot] != NONE; slot = slot + 1 & tableMask) {
            int homeOfSlot = homeSlot(flowQueue[table[slot]], flowTenant[table[slot]], flowKey[table[slot]]);
            if ((slot - homeOfSlot & tableMask) >= (slot - gap & tableMask)) {
                table[gap] = table[slot];
                gap = slot;
            }
        }
        table[gap] = NONE;
    }
}
