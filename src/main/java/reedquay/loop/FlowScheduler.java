package reedquay.loop;

import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Decides which flow an event loop works for next, and when it has worked enough before it polls its sockets again. A
 * flow is whatever has work for the loop, such as a client whose messages wait. The rule is deficit round robin
 * (Shreedhar and Varghese, 1995) on the time that the work took: each round gives a flow one quantum, and a flow that
 * took more waits for as many rounds as it took quanta. Flows that become active are served before those that have used
 * up a quantum, as in FQ-CoDel (RFC 8290), so that one which needs less than its share never waits for those that want
 * more; one that ends its work goes through a round of the others before it counts as new again. What one service takes
 * beyond two quanta is not held against its flow: the loop's thread may have been held up meanwhile. Not thread-safe.
 */
public final class FlowScheduler<F> {
    /** A flow's place and what it may still use; flows without work have one only until their next turn. */
    private static final class Place<F> {
        final F flow;
        long deficit;
        boolean active = true;
        boolean isNew = true;

        Place(F flow, long deficit) {
            this.flow = flow;
            this.deficit = deficit;
        }
    }

    private static final int MAX_DEBT_QUANTA = 2;

    private final long quantum;
    private final long turnLength;
    private final Map<F, Place<F>> places = new IdentityHashMap<>();
    private final ArrayDeque<Place<F>> newPlaces = new ArrayDeque<>();
    private final ArrayDeque<Place<F>> oldPlaces = new ArrayDeque<>();
    private int activeFlows;
    private long usedInTurn;

    /** quantum: what one round gives to a flow; turnLength: how long the loop works in a turn; in nanoseconds. */
    public FlowScheduler(long quantum, long turnLength) {
        this.quantum = quantum;
        this.turnLength = turnLength;
    }

    /** A turn of the loop begins: its sockets were polled. */
    public void beginTurn() {
        usedInTurn = 0;
    }

    /** The flow has work. */
    public void activate(F flow) {
        Place<F> place = places.get(flow);
        if (place == null) {
            place = new Place<>(flow, quantum);
            places.put(flow, place);
            newPlaces.addLast(place);
            activeFlows++;
        } else if (!place.active) {
            place.active = true;
            activeFlows++;
        }
    }

    /** The flow to work for now; null where none has work or this turn is over. */
    public F next() {
        if (usedInTurn >= turnLength || activeFlows == 0) {
            return null;
        }
        while (true) {
            ArrayDeque<Place<F>> list = newPlaces.isEmpty() ? oldPlaces : newPlaces;
            Place<F> place = list.peekFirst();
            if (!place.active) {
                list.pollFirst();
                places.remove(place.flow);
            } else if (place.deficit <= 0) {
                place.deficit += quantum;
                moveToOld(list, place);
            } else {
                return place.flow;
            }
        }
    }

    private void moveToOld(ArrayDeque<Place<F>> list, Place<F> place) {
        list.remove(place);
        place.isNew = false;
        oldPlaces.addLast(place);
    }

    /** How long the flow that next() has named may use the loop before others are served. */
    public long allowance(F flow) {
        return places.get(flow).deficit;
    }

    /** The loop has worked for the flow that next() has named; hasWork: whether there is more to do for it. */
    public void served(F flow, long nanos, boolean hasWork) {
        usedInTurn += nanos;
        Place<F> place = places.get(flow);
        if (place == null) {
            return; // it was removed meanwhile
        }
        place.deficit = Math.max(place.deficit - nanos, -MAX_DEBT_QUANTA * quantum);
        if (!hasWork) {
            deactivate(place);
            if (place.isNew) {
                moveToOld(newPlaces, place);
            }
        }
    }

    private void deactivate(Place<F> place) {
        activeFlows -= place.active ? 1 : 0;
        place.active = false;
    }

    /** Forgets the flow and its work. */
    public void remove(F flow) {
        Place<F> place = places.remove(flow);
        if (place != null) {
            deactivate(place);
            (place.isNew ? newPlaces : oldPlaces).remove(place);
        }
    }

    /** Whether any flow has work. */
    public boolean hasWork() {
        return activeFlows > 0;
    }
}
