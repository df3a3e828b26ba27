package reedquay.fair;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import reedquay.core.Rpc;

/**
 * The clients that ask for the most work, by the Space-Saving algorithm (Metwally, Agrawal and El Abbadi 2005): a fixed
 * number of clients, each with a count that is too high by no more than its error. A client that asks for more than the
 * total divided by that number is among them. The counts are halved periodically, so that they reflect recent work.
 * Single-threaded.
 */
final class HeavyHitters {
    private final long[] clientKeys;
    private final String[] names;
    private final long[] work; // nanoseconds, may be too high
    private final long[] errors; // the most by which work may be too high
    private final long[] pushbacks;
    private int used;

    /** size: the number of clients that are counted at a time. */
    HeavyHitters(int size) {
        clientKeys = new long[size];
        names = new String[size];
        work = new long[size];
        errors = new long[size];
        pushbacks = new long[size];
    }

    /** Adds the work of a client's RPC. A client that isn't counted yet takes a free place or that of the lightest. */
    void addWork(long clientKey, Rpc rpc, long added) {
        int smallest = 0;
        for (int i = 0; i < used; i++) {
            if (clientKeys[i] == clientKey) {
                work[i] += added;
                return;
            }
            smallest = work[i] < work[smallest] ? i : smallest;
        }
        boolean hasFree = used < clientKeys.length;
        int index = hasFree ? used++ : smallest;
        errors[index] = hasFree ? 0 : work[index];
        work[index] = errors[index] + added;
        clientKeys[index] = clientKey;
        names[index] = (rpc.tenant == null ? "" : rpc.tenant) + (rpc.clientId == null ? "" : " " + rpc.clientId);
        pushbacks[index] = 0;
    }

    /** Counts a pushback of the client, if the client is among those that are counted. */
    void recordPushback(long clientKey) {
        for (int i = 0; i < used; i++) {
            pushbacks[i] += clientKeys[i] == clientKey ? 1 : 0;
        }
    }

    /** Halves all counts, so that older work counts less. */
    void halve() {
        for (int i = 0; i < used; i++) {
            work[i] /= 2;
            errors[i] /= 2;
            pushbacks[i] /= 2;
        }
    }

    /** Rows of name, work in ms, its maximum error in ms and number of pushbacks; the heaviest client first. */
    List<String[]> rows() {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < used; i++) {
            order.add(i);
        }
        order.sort(Comparator.comparingLong((Integer i) -> -work[i]).thenComparingInt(i -> i));
        return order.stream().map(i -> new String[] {names[i], Long.toString(work[i] / 1_000_000),
            Long.toString(errors[i] / 1_000_000), Long.toString(pushbacks[i])}).toList();
    }
}
