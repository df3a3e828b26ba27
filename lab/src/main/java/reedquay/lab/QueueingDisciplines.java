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
 * Ways to order who waits, on a plain model: one server, unit work, clients that each ask at an even pace and one that
 * asks for many times as much. Shows what each costs in memory and in fairness; the door's own code is not in it.
 */
final class QueueingDisciplines {
    /** A discipline: takes client ids, gives back whose turn it is. */
    interface Discipline {
        /** OK, AWAY where it is turned away, else the client whose last one gives its place up. */
        int add(int client);

        /** -1 where nothing waits. */
        int next();

        /** What its structures hold now, counted as arrays of plain numbers. */
        long bytes();
    }

    private static final int ACCEPTED = -1;
    private static final int REJECTED = -2;
    private static final int MAX_WAIT_STEPS = 100; // steps
    private static final int MAX_WAITING = 1000; // that may wait, the same for all

    private QueueingDisciplines() { }

    static Map<String, Discipline> all(long seed) {
        Map<String, Discipline> ways = new java.util.LinkedHashMap<>();
        ways.put("first come", new HashedQueues(1, 1, seed, 0));
        ways.put("round robin by client, only those that wait", new RoundRobin());
        ways.put("stochastic, 64 queues, seed changes", new HashedQueues(64, 1, seed, 5000));
        ways.put("stochastic, 1024 queues, seed changes", new HashedQueues(1024, 1, seed, 5000));
        ways.put("stochastic, 1024 queues, one seed", new HashedQueues(1024, 1, seed, 0));
        ways.put("shuffled hand of 4 of 128 queues", new HashedQueues(128, 4, seed, 0));
        ways.put("start-time tags for each client ever seen", new StartTimeFairQueueing());
        ways.put("one queue, Space-Saving of 64 before it", new HeavyHitterFilter(64));
        return ways;
    }

    /** Queues by hash, served in turn; a hand of more than one takes the shortest. */
    private static final class HashedQueues implements Discipline {
        private final List<ArrayDeque<Integer>> queues = new ArrayList<>();
        private final int handSize;
        private final long reseedInterval;
        private long seed;
        private long addCount;
        private int currentQueue;
        private int waiting;

        HashedQueues(int count, int hand, long seed, long change) {
            this.handSize = hand;
            this.seed = seed;
            this.reseedInterval = change;
            for (int i = 0; i < count; i++) {
                queues.add(new ArrayDeque<>());
            }
        }

        private ArrayDeque<Integer> queueOf(int client) {
            ArrayDeque<Integer> best = null;
            SplittableRandom dealt = new SplittableRandom(seed * 31 + client);
            for (int i = 0; i < handSize; i++) {
                ArrayDeque<Integer> each = queues.get(dealt.nextInt(queues.size()));
                best = best == null || each.size() < best.size() ? each : best;
            }
            return best;
        }

        @Override public int add(int client) {
            if (reseedInterval > 0 && ++addCount % reseedInterval == 0) {
                seed++;
                List<Integer> all = new ArrayList<>();
                queues.forEach(q -> {
                    all.addAll(q);
                    q.clear();
                });
                all.forEach(c -> queueOf(c).addLast(c));
            }
            ArrayDeque<Integer> queue = queueOf(client);
            if (waiting >= MAX_WAITING) {
                ArrayDeque<Integer> longest = queues.stream().max(
                        java.util.Comparator.comparingInt(ArrayDeque::size)).get();
                if (longest == queue || queues.size() == 1) {
                    return REJECTED;
                }
                int out = longest.pollLast();
                queue.addLast(client);
                return out;
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

    /** Round robin over the clients that wait, whatever their number. */
    private static final class RoundRobin implements Discipline {
        private final Map<Integer, Integer> waitingByClient = new HashMap<>();
        private final ArrayDeque<Integer> ring = new ArrayDeque<>();
        private int waiting;

        @Override public int add(int client) {
            int out = ACCEPTED;
            if (waiting >= MAX_WAITING) {
                int longest = client;
                for (Map.Entry<Integer, Integer> e : waitingByClient.entrySet()) {
                    longest = e.getValue() > waitingByClient.getOrDefault(longest, 0) ? e.getKey() : longest;
                }
                if (longest == client || waitingByClient.get(longest) <= waitingByClient.getOrDefault(client, 0) + 1) {
                    return REJECTED;
                }
                waitingByClient.merge(longest, -1, Integer::sum);
                waiting--;
                out = longest;
            }
            if (waitingByClient.merge(client, 1, Integer::sum) == 1) {
                ring.addLast(client);
            }
            waiting++;
            return out;
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

    /** Start-time fair queueing that remembers each client's last tag. */
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

    /** First come, first served, but a client counted for more than four times the even part of late is turned away. */
    private static final class HeavyHitterFilter implements Discipline {
        private final int[] clients;
        private final long[] counts;
        private final ArrayDeque<Integer> queue = new ArrayDeque<>();
        private int used;
        private long total;

        HeavyHitterFilter(int most) {
            clients = new int[most];
            counts = new long[most];
        }

        private long countRequest(int client) {
            int least = 0;
            for (int i = 0; i < used; i++) {
                if (clients[i] == client) {
                    return ++counts[i];
                }
                least = counts[i] < counts[least] ? i : least;
            }
            int at = used < clients.length ? used++ : least;
            clients[at] = client;
            return ++counts[at];
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

    /** What is served in time of the requests: of the light clients, of their worst hundredth, of the greedy one. */
    static String tableRow(String name, Discipline way, int clients, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int steps = Math.max(400_000, 2 * clients);
        int[] asked = new int[clients + 1];
        int[] served = new int[clients + 1];
        Map<Integer, ArrayDeque<Integer>> since = new HashMap<>();
        for (int i = 0; i < steps; i++) { // 0.8 of the server by all, 0.6 by one, in any order
            boolean first = random.nextBoolean();
            for (int k = 0; k < 2; k++) {
                boolean light = k == 0 == first;
                if (random.nextInt(10) >= (light ? 8 : 6)) {
                    continue;
                }
                int client = light ? 1 + random.nextInt(clients) : 0;
                asked[client]++;
                int out = way.add(client);
                if (out != REJECTED) {
                    since.computeIfAbsent(client, c -> new ArrayDeque<>()).addLast(i);
                }
                if (out >= 0) {
                    since.get(out).pollLast();
                }
            }
            int next = way.next();
            if (next >= 0) {
                ArrayDeque<Integer> of = since.get(next);
                served[next] += i - of.pollFirst() <= MAX_WAIT_STEPS ? 1 : 0;
                if (of.isEmpty()) {
                    since.remove(next);
                }
            }
        }
        double light = 0;
        long had = 0;
        List<Double> each = new ArrayList<>();
        for (int c = 1; c <= clients; c++) {
            light += served[c];
            had += asked[c];
            if (asked[c] > 0) {
                each.add(served[c] / (double) asked[c]);
            }
        }
        each.sort(Double::compare);
        return String.format(Locale.ROOT, "| %s | %,d | %.3f | %.3f | %.3f | %,d |", name, clients, light / had,
                each.get(each.size() / 100), served[0] / (double) asked[0], way.bytes());
    }
}
