package reedquay.fair;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reedquay.core.Rpc;

/** Tests the fairness of FairScheduler, and compares it with a slow reference model of lists on generated inputs. */
class FairSchedulerTest {
    private static final double[] WEIGHTS = {1, 3, 1.5};

    private static AdmissionEntry newEntry(TrafficClass trafficClass, int tenant, long clientKey, long cost,
            double utilityPerWork) {
        AdmissionEntry entry = new AdmissionEntry(new Rpc(0, 0, null, 0, false, 0, null, null), trafficClass, tenant,
                0);
        entry.clientKey = clientKey;
        entry.cost = cost;
        entry.utilityPerWork = utilityPerWork;
        return entry;
    }

    private static TrafficClass newTrafficClass(FairScheduler scheduler) {
        RetryReservations noReservations = new RetryReservations(1, 0, 0, 1);
        return new TrafficClass(scheduler.newQueue(), noReservations.new Schedule(0), 1, 1);
    }

    /**
     * Deficit round robin with lists as rings, of tenants and of the clients of each: the first with credit is served;
     * one without credit gets a quantum and moves to the end. Reserved entries are served first, at their owners' cost.
     */
    private static final class ReferenceModel {
        static final class Client {
            final long key;
            final List<AdmissionEntry> entries = new ArrayList<>();
            long credit;

            Client(long key, long credit) {
                this.key = key;
                this.credit = credit;
            }
        }

        static final class Tenant {
            final int index;
            long credit;
            final List<Client> clients = new ArrayList<>();

            Tenant(int index, long credit) {
                this.index = index;
                this.credit = credit;
            }

            Client client(long key) {
                return clients.stream().filter(c -> c.key == key).findFirst().orElse(null);
            }
        }

        final long quantum;
        final List<Tenant> tenants = new ArrayList<>();
        final List<AdmissionEntry> reserved = new ArrayList<>();

        ReferenceModel(long quantum) {
            this.quantum = quantum;
        }

        Tenant tenant(int index) {
            return tenants.stream().filter(t -> t.index == index).findFirst().orElse(null);
        }

        void add(AdmissionEntry entry) {
            if (entry.reserved) {
                reserved.add(entry);
                return;
            }
            Tenant tenant = tenant(entry.tenant);
            if (tenant == null) {
                tenants.add(tenant = new Tenant(entry.tenant, (long) (quantum * WEIGHTS[entry.tenant])));
            }
            Client client = tenant.client(entry.clientKey);
            if (client == null) {
                tenant.clients.add(client = new Client(entry.clientKey, quantum));
            }
            client.entries.add(entry);
        }

        void remove(AdmissionEntry entry) {
            if (reserved.remove(entry)) {
                return;
            }
            Tenant tenant = tenant(entry.tenant);
            Client client = tenant.client(entry.clientKey);
            client.entries.remove(entry);
            if (client.entries.isEmpty()) {
                tenant.clients.remove(client);
            }
            if (tenant.clients.isEmpty()) {
                tenants.remove(tenant);
            }
        }

        AdmissionEntry poll() {
            if (!reserved.isEmpty()) {
                AdmissionEntry first = reserved.get(0);
                for (Tenant tenant : tenants) {
                    Client client = tenant.client(first.clientKey);
                    if (client != null) {
                        client.credit = Math.max(client.credit - first.cost, -4 * quantum);
                    }
                }
                Tenant own = tenant(first.tenant);
                if (own != null) {
                    own.credit = Math.max(own.credit - first.cost, (long) (-4 * quantum * WEIGHTS[own.index]));
                }
                reserved.remove(0);
                return first;
            }
            if (tenants.isEmpty()) {
                return null;
            }
            while (tenants.get(0).credit <= 0) {
                Tenant withoutCredit = tenants.remove(0);
                withoutCredit.credit += (long) (quantum * WEIGHTS[withoutCredit.index]);
                tenants.add(withoutCredit);
            }
            Tenant tenant = tenants.get(0);
            while (tenant.clients.get(0).credit <= 0) {
                Client withoutCredit = tenant.clients.remove(0);
                withoutCredit.credit += quantum;
                tenant.clients.add(withoutCredit);
            }
            Client client = tenant.clients.get(0);
            AdmissionEntry best = client.entries.get(0);
            for (AdmissionEntry each : client.entries.subList(0, Math.min(8, client.entries.size()))) {
                best = each.utilityPerWork > best.utilityPerWork ? each : best;
            }
            client.credit -= best.cost;
            tenant.credit -= best.cost;
            for (Tenant other : tenants) {
                Client same = other == tenant ? null : other.client(client.key);
                if (same != null) {
                    same.credit = Math.max(same.credit - best.cost, -4 * quantum);
                }
            }
            remove(best);
            return best;
        }
    }

    @Test void matchesListBasedReferenceModel() {
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int capacity = 1 + random.nextInt(60);
            FairScheduler scheduler = new FairScheduler(capacity, WEIGHTS);
            scheduler.setQuantum(100);
            List<TrafficClass> trafficClasses = List.of(newTrafficClass(scheduler), newTrafficClass(scheduler));
            List<ReferenceModel> models = List.of(new ReferenceModel(100), new ReferenceModel(100));
            List<AdmissionEntry> waiting = new ArrayList<>();
            int clients = 1 + random.nextInt(40);
            for (int i = 0; i < 10_000; i++) {
                int chosen = random.nextInt(2);
                int action = random.nextInt(8);
                if (action < 4 && !scheduler.full()) {
                    AdmissionEntry entry = newEntry(trafficClasses.get(chosen), random.nextInt(3),
                            random.nextInt(clients), 1 + random.nextInt(150), random.nextInt(3));
                    entry.reserved = random.nextInt(20) == 0;
                    scheduler.add(entry.queue, entry, 0);
                    models.get(chosen).add(entry);
                    waiting.add(entry);
                } else if (action == 4 && !waiting.isEmpty()) {
                    AdmissionEntry entry = waiting.remove(random.nextInt(waiting.size()));
                    scheduler.remove(entry);
                    models.get(entry.queue.index).remove(entry);
                } else if (action > 4) {
                    AdmissionEntry next = scheduler.poll(trafficClasses.get(chosen).queue);
                    assertSame(models.get(chosen).poll(), next, "seed " + seed + ", step " + i);
                    waiting.remove(next);
                }
                assertEquals(waiting.size(), scheduler.waiting());
                assertEquals(waiting.stream().filter(t -> t.queue.index == chosen && !t.reserved)
                        .mapToLong(t -> t.cost).sum(), trafficClasses.get(chosen).queue.queuedWork());
            }
        }
    }

    /**
     * Returns the work served by client and tenant (10 * clientKey + tenant) in the given number of polls, while each
     * always has entries waiting.
     */
    private static Map<Long, Long> workServed(int[] tenants, long[] keys, long[] costs, int rounds) {
        FairScheduler scheduler = new FairScheduler(10 * keys.length, WEIGHTS);
        scheduler.setQuantum(1000);
        TrafficClass trafficClass = newTrafficClass(scheduler);
        for (int i = 0; i < keys.length; i++) {
            for (int k = 0; k < 3; k++) {
                scheduler.add(trafficClass.queue, newEntry(trafficClass, tenants[i], keys[i], costs[i], 1), 0);
            }
        }
        Map<Long, Long> work = new LinkedHashMap<>();
        for (int i = 0; i < rounds; i++) {
            AdmissionEntry next = scheduler.poll(trafficClass.queue);
            work.merge(next.clientKey * 10 + next.tenant, next.cost, Long::sum);
            scheduler.add(trafficClass.queue, newEntry(trafficClass, next.tenant, next.clientKey, next.cost, 1), 0);
        }
        return work;
    }

    @Test void clientsOfATenantGetEqualWorkAndTenantsGetWorkByWeight() {
        Map<Long, Long> work = workServed(new int[] {0, 0, 1, 1}, new long[] {1, 2, 3, 4},
                new long[] {100, 900, 300, 50}, 40_000);
        assertEquals(1, work.get(10L) / (double) work.get(20L), 0.02);
        assertEquals(1, work.get(31L) / (double) work.get(41L), 0.02);
        assertEquals(3, (work.get(31L) + work.get(41L)) / (double) (work.get(10L) + work.get(20L)), 0.05);
    }

    /** Prevents a client from multiplying its share by sending under several tenants' names. */
    @Test void clientUsingThreeTenantNamesGetsLittleMoreThanOneShare() {
        double[] relative = new double[3];
        Map<Long, Long> work = workServed(new int[] {0, 1, 2, 0, 1, 2}, new long[] {7, 7, 7, 1, 2, 3},
                new long[] {100, 100, 100, 100, 100, 100}, 60_000);
        for (int tenant = 0; tenant < 3; tenant++) {
            relative[tenant] = work.getOrDefault(70L + tenant, 0L) / (double) work.get(10L * (tenant + 1) + tenant);
        }
        assertTrue(relative[0] + relative[1] + relative[2] < 1.7, work.toString());
    }

    /** Keys that all hash to one slot of the table are slower to find, but each still has a flow of its own. */
    @Test void collidingKeysKeepSeparateFlows() {
        FairScheduler scheduler = new FairScheduler(64, new double[] {1});
        scheduler.setQuantum(100);
        TrafficClass trafficClass = newTrafficClass(scheduler);
        List<Long> collidingKeys = new ArrayList<>();
        for (long key = 0; collidingKeys.size() < 20; key++) {
            if ((int) (key * 0x9E3779B97F4A7C15L >>> 32 & 127) == 5) {
                collidingKeys.add(key);
            }
        }
        for (long key : collidingKeys) {
            scheduler.add(trafficClass.queue, newEntry(trafficClass, 0, key, 100, 1), 0);
            scheduler.add(trafficClass.queue, newEntry(trafficClass, 0, key, 100, 1), 0);
        }
        Map<Long, Integer> servedByKey = new HashMap<>();
        for (int i = 0; i < 20; i++) {
            servedByKey.merge(scheduler.poll(trafficClass.queue).clientKey, 1, Integer::sum);
        }
        assertEquals(20, servedByKey.size(), "the first round serves one entry of each client");
    }

    @Test void evictionCandidateBelongsToLongestSampledFlow() {
        FairScheduler scheduler = new FairScheduler(100, new double[] {1});
        TrafficClass trafficClass = newTrafficClass(scheduler);
        for (int i = 0; i < 60; i++) {
            scheduler.add(trafficClass.queue, newEntry(trafficClass, 0, 1, 100, 1), 0);
        }
        for (int i = 0; i < 40; i++) {
            scheduler.add(trafficClass.queue, newEntry(trafficClass, 0, 100 + i, 100, 1), 0);
        }
        assertTrue(scheduler.full());
        for (int i = 0; i < 50; i++) {
            assertEquals(1, scheduler.evictionCandidate(i * 7919L).clientKey);
        }
    }
}
