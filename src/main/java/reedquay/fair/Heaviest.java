package reedquay.fair;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import reedquay.core.Rpc;

/**
 * The clients that ask for most work, by Space-Saving (Metwally, Agrawal and El Abbadi 2005): a fixed number of them,
 * each with a count that is too high by no more than its error. Whoever asks for more than the whole divided by that
 * number is among them. Halved now and then, so that it tells of late. One thread.
 */
final class Heaviest {
    private final long[] key;
    private final String[] name;
    private final long[] work;
    private final long[] error;
    private final long[] pushedBack;
    private int used;

    Heaviest(int most) {
        key = new long[most];
        name = new String[most];
        work = new long[most];
        error = new long[most];
        pushedBack = new long[most];
    }

    void add(long client, Rpc rpc, long by) {
        int least = 0;
        for (int i = 0; i < used; i++) {
            if (key[i] == client) {
                work[i] += by;
                return;
            }
            least = work[i] < work[least] ? i : least;
        }
        boolean spare = used < key.length;
        int at = spare ? used++ : least;
        error[at] = spare ? 0 : work[at];
        work[at] = error[at] + by;
        key[at] = client;
        name[at] = (rpc.tenant == null ? "" : rpc.tenant) + (rpc.clientId == null ? "" : " " + rpc.clientId);
        pushedBack[at] = 0;
    }

    void pushedBack(long client) {
        for (int i = 0; i < used; i++) {
            pushedBack[i] += key[i] == client ? 1 : 0;
        }
    }

    void halve() {
        for (int i = 0; i < used; i++) {
            work[i] /= 2;
            error[i] /= 2;
            pushedBack[i] /= 2;
        }
    }

    /** Name, work, the most that it may be too high by, pushed back; the heaviest first. */
    List<String[]> rows() {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < used; i++) {
            order.add(i);
        }
        order.sort(Comparator.comparingLong((Integer i) -> -work[i]).thenComparingInt(i -> i));
        return order.stream().map(i -> new String[] {name[i], Long.toString(work[i] / 1_000_000),
            Long.toString(error[i] / 1_000_000), Long.toString(pushedBack[i])}).toList();
    }
}
