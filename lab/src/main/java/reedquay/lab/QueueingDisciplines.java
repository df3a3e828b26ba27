package reedquay.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Compares the memory and fairness of queueing disciplines on a simple model: one server, requests of one unit of work,
 * light clients that send requests at equal rates, and one greedy client that sends many times as many. The disciplines
 * are written for this comparison; the code of admission control is not used.
 */
final class QueueingDisciplines {
    /** A queueing discipline: queues requests by client ID and selects the client that is served next. */
    interface Discipline {
        /** Adds a request. Returns ACCEPTED, REJECTED, or the client whose newest request was evicted for this one. */
        int add(int client);

        /** Removes the request that is served next and returns its client; -1 if no request waits. */
        int next();

        /** Current size of its data structures in bytes, as if they were arrays of primitive types. */
        long bytes();
    }

    private static final int ACCEPTED = -1;
    private static final int REJECTED = -2;
    private static final int MAX_WAIT_STEPS = 100; // a request served later is not in time
    private static final int MAX_WAITING = 1000; // requests, the same for all disciplines

    private QueueingDisciplines() { }

    /** Returns the disciplines by the name that is printed in the table. */
    static Map<String, Discipline> all(long seed) {
        Map<String, Discipline> disciplines = new java.util.LinkedHashMap<>();
        disciplines.put("first come", new HashedQueues(1, 1, seed, 0));
        disciplines.put("round robin by client, only those that wait", new RoundRobin());
        disciplines.put("stochastic, 64 queues, seed changes", new HashedQueues(64, 1, seed, 5000));
        disciplines.put("stochastic, 1024 queues, seed changes", new HashedQueues(1024, 1, seed, 5000));
        disciplines.put("stochastic, 1024 queues, one seed", new HashedQueues(1024, 1, seed, 0));
        disciplines.put("shuffled hand of 4 of 128 queues", new HashedQueues(128, 4, seed, 0));
        disciplines.put("start-time tags for each client ever seen", new StartTimeFairQueueing());
        disciplines.put("one queue, Space-Saving of 64 before it", new HeavyHitterFilter(64));
        return disciplines;
    }

    /**
     * Stochastic fair queueing: a request is put into the queue that a hash of its client selects, and the queues are
     * served round robin. With a hand of more than one queue per client (shuffle sharding), the shortest queue of the
     * client's hand is used. Waiting requests are rehashed with a new seed every reseedInterval requests; 0 for never.
     */
    private static final class HashedQueues implements Discipline {
        private final List<ArrayDeque<Integer>> queues = new ArrayList<>();
        private final int handSize;
        private final long reseedInterval;
        private long seed;
        private long addCount;
        private int currentQueue;
        private int waiting;

        HashedQueues(int queueCount, int handSize, long seed, long reseedInterval) {
            this.handSize = handSize;
            this.seed = seed;
            this.reseedInterval = reseedInterval;
            for (int i = 0; i < queueCount; i++) {
                queues.add(new ArrayDeque<>());
            }
        }

        private ArrayDeque<Integer> queueOf(int client) {
            ArrayDeque<Integer> shortest = null;
            SplittableRandom handRandom = new SplittableRandom(seed * 31 + client);
            for (int i = 0; i < handSize; i++) {
                ArrayDeque<Integer> candidate = queues.get(handRandom.nextInt(queues.size()));
                shortest = shortest == null || candidate.size() < shortest.size() ? candidate : shortest;
            }
            return shortest;
        }

        @Override public int add(int client) {
            if (reseedInterval > 0 && ++addCount % reseedInterval == 0) {
                seed++;
                List<Integer> waitingClients = new ArrayList<>();
                queues.forEach(q -> {
                    waitingClients.addAll(q);
                    q.clear();
                });
                waitingClients.forEach(c -> queueOf(c).addLast(c));
            }
            ArrayDeque<Integer> queue = queueOf(client);
            if (waiting >= MAX_WAITING) {
                ArrayDeque<Integer> longest = queues.stream().max(
                        java.util.Comparator.comparingInt(ArrayDeque::size)).get();
                if (longest == queue || queues.size() == 1) {
                    return REJECTED;
                }
                int evicted = longest.pollLast();
                queue.addLast(client);
                return evicted;
            }
            queue.addLast(client);
            waiting++;
            return ACCEPTED;
        }

        @Override public int next() {
            for (int i = 0; i < queues.size(); i++) {
                currentQueue = (currentQueue + 1) % queues.size();
                if (!queues.get(currentQueue).isEmpty()) {
                    waiting--;
                    return queues.get(currentQueue).pollFirst();
                }
            }
            return -1;
        }

        @Override public long bytes() { return queues.size() * 16L + MAX_WAITING * 8L; }
    }

    /** Round robin over the clients that have requests waiting; evicts requests of the client with the most. */
    private static final class RoundRobin implements Discipline {
        private final Map<Integer, Integer> waitingByClient = new HashMap<>();
        private final ArrayDeque<Integer> ring = new ArrayDeque<>();
        private int waiting;

        @Override public int add(int client) {
            int result = ACCEPTED;
            if (waiting >= MAX_WAITING) {
                int longest = client;
                for (Map.Entry<Integer, Integer> entry : waitingByClient.entrySet()) {
                    longest = entry.getValue() > waitingByClient.getOrDefault(longest, 0) ? entry.getKey() : longest;
                }
                if (longest == client || waitingByClient.get(longest) <= waitingByClient.getOrDefault(client, 0) + 1) {
                    return REJECTED;
                }
                waitingByClient.merge(longest, -1, Integer::sum);
                waiting--;
                result = longest;
            }
            if (waitingByClient.merge(client, 1, Integer::sum) == 1) {
                ring.addLast(client);
            }
            waiting++;
            return result;
        }

        @Override public int next() {
            Integer client = ring.pollFirst();
            if (client == null) {
                return -1;
            }
            waiting--;
            if (waitingByClient.merge(client, -1, Integer::sum) > 0) {
                ring.addLast(client);
            } else {
                waitingByClient.remove(client);
            }
            return client;
        }

        @Override public long bytes() { return MAX_WAITING * 108L; }
    }

    /** Start-time fair queueing that keeps the last finish tag of each client ever seen. */
    private static final class StartTimeFairQueueing implements Discipline {
        private record Tag(double start, long order, int client) { }

        private final Map<Integer, Double> finishTags = new HashMap<>();
        private final java.util.PriorityQueue<Tag> queue = new java.util.PriorityQueue<>(
                java.util.Comparator.comparingDouble(Tag::start).thenComparingLong(Tag::order));
        private double virtualTime;
        private long order;

        @Override public int add(int client) {
            if (queue.size() >= MAX_WAITING) {
                return REJECTED;
            }
            double start = Math.max(virtualTime, finishTags.getOrDefault(client, 0.0));
            finishTags.put(client, start + 1);
            queue.add(new Tag(start, order++, client));
            return ACCEPTED;
        }

        @Override public int next() {
            Tag tag = queue.poll();
            if (tag == null) {
                return -1;
            }
            virtualTime = tag.start;
            return tag.client;
        }

        @Override public long bytes() { return finishTags.size() * 48L + MAX_WAITING * 24L; }
    }

    /**
     * First come, first served behind a heavy-hitter filter: a client whose recent count (Space-Saving) is above four
     * times the total divided by the number of counters is rejected while more than a twentieth of the queue is used.
     */
    private static final class HeavyHitterFilter implements Discipline {
        private final int[] clients;
        private final long[] counts;
        private final ArrayDeque<Integer> queue = new ArrayDeque<>();
        private int used;
        private long total;

        HeavyHitterFilter(int size) {
            clients = new int[size];
            counts = new long[size];
        }

        private long countRequest(int client) {
            int smallest = 0;
            for (int i = 0; i < used; i++) {
                if (clients[i] == client) {
                    return ++counts[i];
                }
                smallest = counts[i] < counts[smallest] ? i : smallest;
            }
            int index = used < clients.length ? used++ : smallest;
            clients[index] = client;
            return ++counts[index];
        }

        @Override public int add(int client) {
            if (++total % 5000 == 0) {
                Arrays.setAll(counts, i -> counts[i] / 2);
            }
            boolean heavy = countRequest(client) > 4 * Math.min(total, 10_000) / clients.length;
            if (heavy && queue.size() > MAX_WAITING / 20 || queue.size() >= MAX_WAITING) {
                return REJECTED;
            }
            queue.addLast(client);
            return ACCEPTED;
        }

        @Override public int next() { return queue.isEmpty() ? -1 : queue.pollFirst(); }

        @Override public long bytes() { return clients.length * 12L + MAX_WAITING * 8L; }
    }

    /**
     * Simulates a discipline and returns its row of the printed table: the share of requests served in time for the
     * light clients together, for the worst 1 % of them and for the greedy client, and the bytes.
     */
    static String tableRow(String name, Discipline discipline, int clients, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int steps = Math.max(400_000, 2 * clients);
        int[] requests = new int[clients + 1];
        int[] served = new int[clients + 1];
        Map<Integer, ArrayDeque<Integer>> queuedAt = new HashMap<>();
        // the light clients together use 0.8 of the server's capacity, the greedy one 0.6, in random order in a step
        for (int step = 0; step < steps; step++) {
            boolean lightFirst = random.nextBoolean();
            for (int k = 0; k < 2; k++) {
                boolean light = k == 0 == lightFirst;
                if (random.nextInt(10) >= (light ? 8 : 6)) {
                    continue;
                }
                int client = light ? 1 + random.nextInt(clients) : 0;
                requests[client]++;
                int result = discipline.add(client);
                if (result != REJECTED) {
                    queuedAt.computeIfAbsent(client, c -> new ArrayDeque<>()).addLast(step);
                }
                if (result >= 0) {
                    queuedAt.get(result).pollLast();
                }
            }
            int next = discipline.next();
            if (next >= 0) {
                ArrayDeque<Integer> times = queuedAt.get(next);
                served[next] += step - times.pollFirst() <= MAX_WAIT_STEPS ? 1 : 0;
                if (times.isEmpty()) {
                    queuedAt.remove(next);
                }
            }
        }
        double lightServed = 0;
        long lightRequests = 0;
        List<Double> servedShares = new ArrayList<>();
        for (int client = 1; client <= clients; client++) {
            lightServed += served[client];
            lightRequests += requests[client];
            if (requests[client] > 0) {
                servedShares.add(served[client] / (double) requests[client]);
            }
        }
        servedShares.sort(Double::compare);
        return String.format(Locale.ROOT, "| %s | %,d | %.3f | %.3f | %.3f | %,d |", name, clients,
                lightServed / lightRequests, servedShares.get(servedShares.size() / 100),
                served[0] / (double) requests[0], discipline.bytes());
    }
}
