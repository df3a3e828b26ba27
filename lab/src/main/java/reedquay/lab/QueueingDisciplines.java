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
    interface Way {
        /** OK, AWAY where it is turned away, else the client whose last one gives its place up. */
        int add(int client);

        /** -1 where nothing waits. */
        int next();

        /** What its structures hold now, counted as arrays of plain numbers. */
        long bytes();
    }

    private static final int OK = -1;
    private static final int AWAY = -2;
    private static final int IN_TIME = 100; // steps
    private static final int MOST = 1000; // that may wait, the same for all

    private QueueingDisciplines() { }

    static Map<String, Way> all(long seed) {
        Map<String, Way> ways = new java.util.LinkedHashMap<>();
        ways.put("first come", new Buckets(1, 1, seed, 0));
        ways.put("round robin by client, only those that wait", new Exact());
        ways.put("stochastic, 64 queues, seed changes", new Buckets(64, 1, seed, 5000));
        ways.put("stochastic, 1024 queues, seed changes", new Buckets(1024, 1, seed, 5000));
        ways.put("stochastic, 1024 queues, one seed", new Buckets(1024, 1, seed, 0));
        ways.put("shuffled hand of 4 of 128 queues", new Buckets(128, 4, seed, 0));
        ways.put("start-time tags for each client ever seen", new Tags());
        ways.put("one queue, Space-Saving of 64 before it", new Heavy(64));
        return ways;
    }

    /** Queues by hash, served in turn; a hand of more than one takes the shortest. */
    private static final class Buckets implements Way {
        private final List<ArrayDeque<Integer>> queues = new ArrayList<>();
        private final int hand;
        private final long change;
        private long seed;
        private long adds;
        private int turn;
        private int waiting;

        Buckets(int count, int hand, long seed, long change) {
            this.hand = hand;
            this.seed = seed;
            this.change = change;
            for (int i = 0; i < count; i++) {
                queues.add(new ArrayDeque<>());
            }
        }

        private ArrayDeque<Integer> of(int client) {
            ArrayDeque<Integer> best = null;
            SplittableRandom dealt = new SplittableRandom(seed * 31 + client);
            for (int i = 0; i < hand; i++) {
                ArrayDeque<Integer> each = queues.get(dealt.nextInt(queues.size()));
                best = best == null || each.size() < best.size() ? each : best;
            }
            return best;
        }

        @Override public int add(int client) {
            if (change > 0 && ++adds % change == 0) {
                seed++;
                List<Integer> all = new ArrayList<>();
                queues.forEach(q -> {
                    all.addAll(q);
                    q.clear();
                });
                all.forEach(c -> of(c).addLast(c));
            }
            ArrayDeque<Integer> queue = of(client);
            if (waiting >= MOST) {
                ArrayDeque<Integer> longest = queues.stream().max(
                        java.util.Comparator.comparingInt(ArrayDeque::size)).get();
                if (longest == queue || queues.size() == 1) {
                    return AWAY;
                }
                int out = longest.pollLast();
                queue.addLast(client);
                return out;
            }
            queue.addLast(client);
            waiting++;
            return OK;
        }

        @Override public int next() {
            for (int i = 0; i < queues.size(); i++) {
                turn = (turn + 1) % queues.size();
                if (!queues.get(turn).isEmpty()) {
                    waiting--;
                    return queues.get(turn).pollFirst();
                }
            }
            return -1;
        }

        @Override public long bytes() { return queues.size() * 16L + MOST * 8L; }
    }

    /** Round robin over the clients that wait, whatever their number. */
    private static final class Exact implements Way {
        private final Map<Integer, Integer> count = new HashMap<>();
        private final ArrayDeque<Integer> ring = new ArrayDeque<>();
        private int waiting;

        @Override public int add(int client) {
            int out = OK;
            if (waiting >= MOST) {
                int longest = client;
                for (Map.Entry<Integer, Integer> e : count.entrySet()) {
                    longest = e.getValue() > count.getOrDefault(longest, 0) ? e.getKey() : longest;
                }
                if (longest == client || count.get(longest) <= count.getOrDefault(client, 0) + 1) {
                    return AWAY;
                }
                count.merge(longest, -1, Integer::sum);
                waiting--;
                out = longest;
            }
            if (count.merge(client, 1, Integer::sum) == 1) {
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
            if (count.merge(client, -1, Integer::sum) > 0) {
                ring.addLast(client);
            } else {
                count.remove(client);
            }
            return client;
        }

        @Override public long bytes() { return MOST * 108L; }
    }

    /** Start-time fair queueing that remembers each client's last tag. */
    private static final class Tags implements Way {
        private record Tag(double start, long order, int client) { }

        private final Map<Integer, Double> finish = new HashMap<>();
        private final java.util.PriorityQueue<Tag> queue = new java.util.PriorityQueue<>(
                java.util.Comparator.comparingDouble(Tag::start).thenComparingLong(Tag::order));
        private double clock;
        private long order;

        @Override public int add(int client) {
            if (queue.size() >= MOST) {
                return AWAY;
            }
            double start = Math.max(clock, finish.getOrDefault(client, 0.0));
            finish.put(client, start + 1);
            queue.add(new Tag(start, order++, client));
            return OK;
        }

        @Override public int next() {
            Tag tag = queue.poll();
            if (tag == null) {
                return -1;
            }
            clock = tag.start;
            return tag.client;
        }

        @Override public long bytes() { return finish.size() * 48L + MOST * 24L; }
    }

    /** First come, first served, but a client counted for more than four times the even part of late is turned away. */
    private static final class Heavy implements Way {
        private final int[] key;
        private final long[] count;
        private final ArrayDeque<Integer> queue = new ArrayDeque<>();
        private int used;
        private long total;

        Heavy(int most) {
            key = new int[most];
            count = new long[most];
        }

        private long seen(int client) {
            int least = 0;
            for (int i = 0; i < used; i++) {
                if (key[i] == client) {
                    return ++count[i];
                }
                least = count[i] < count[least] ? i : least;
            }
            int at = used < key.length ? used++ : least;
            key[at] = client;
            return ++count[at];
        }

        @Override public int add(int client) {
            if (++total % 5000 == 0) {
                Arrays.setAll(count, i -> count[i] / 2);
            }
            boolean heavy = seen(client) > 4 * Math.min(total, 10_000) / key.length;
            if (heavy && queue.size() > MOST / 20 || queue.size() >= MOST) {
                return AWAY;
            }
            queue.addLast(client);
            return OK;
        }

        @Override public int next() { return queue.isEmpty() ? -1 : queue.pollFirst(); }

        @Override public long bytes() { return key.length * 12L + MOST * 8L; }
    }

    /** What is served in time of the requests: of the light clients, of their worst hundredth, of the greedy one. */
    static String tableRow(String name, Way way, int clients, long seed) {
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
                if (out != AWAY) {
                    since.computeIfAbsent(client, c -> new ArrayDeque<>()).addLast(i);
                }
                if (out >= 0) {
                    since.get(out).pollLast();
                }
            }
            int next = way.next();
            if (next >= 0) {
                ArrayDeque<Integer> of = since.get(next);
                served[next] += i - of.pollFirst() <= IN_TIME ? 1 : 0;
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
