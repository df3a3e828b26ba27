package reedquay.sessions;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import reedquay.sessions.PendingClose.Ending;
import reedquay.sessions.PendingClose.State;

/** Every order of events of a client with up to three messages of two parts each, against the rules for a close. */
class PendingCloseTest {
    private static final int PARTS = 2; // of each message
    private static final long BUSY = 10;

    /** A guard that is left out, to see that the worlds notice it. */
    private enum LeftOut {
        NOTHING, REFUSAL, DROPPED_INPUT, WAITING, OWED, OWED_BY_ENDLESS, PARTIAL, LAST_READ, ENDLESS
    }

    /**
     * A client and its session. sent, read: parts; refusedFrom: the first message that is refused, none if negative;
     * finished: messages with an answer or refusal; ended: the connection has closed.
     */
    private record World(int messages, int sent, int read, int refusedFrom, int finished, boolean inFlight,
            boolean behind, State state, boolean dropped, boolean ended) {
        int complete() {
            return read / PARTS;
        }

        boolean isPartial() {
            return read % PARTS > 0;
        }

        boolean isUnanswered() {
            return finished < complete();
        }

        /** Whether a message waits; the one in flight does not any more. */
        boolean waits() {
            return finished + (inFlight ? 1 : 0) < complete();
        }

        World with(int newSent, int newRead, int newFinished, boolean newInFlight, State newState) {
            return new World(messages, newSent, newRead, refusedFrom, newFinished, newInFlight, behind, newState,
                    dropped, ended);
        }
    }

    /** The module in the state of the world. */
    private static PendingClose module(World world) {
        PendingClose close = new PendingClose(BUSY);
        if (world.state != State.OPEN) {
            close.begin();
        }
        if (world.state == State.ENDLESS) {
            close.workChanged(true, false, 0);
            assertTrue(close.judgeEndless(BUSY));
        }
        return close;
    }

    private static List<World> next(World world, LeftOut leftOut) {
        List<World> next = new ArrayList<>();
        PendingClose close = module(world);
        if (world.sent < world.messages * PARTS) {
            next.add(world.with(world.sent + 1, world.read, world.finished, world.inFlight, world.state));
        }
        if (world.state == State.OPEN) {
            next.add(world.with(world.sent, world.read, world.finished, world.inFlight, State.PENDING));
        }
        boolean hasWork = !world.inFlight && (world.waits() || world.behind);
        PendingClose later = module(world);
        later.workChanged(hasWork, world.inFlight, 0);
        if (leftOut != LeftOut.ENDLESS && later.judgeEndless(BUSY)) {
            next.add(world.with(world.sent, world.read, world.finished, world.inFlight, State.ENDLESS));
        }
        if (world.read < world.sent && close.readsOn()) {
            next.add(read(world, close, leftOut));
        }
        if (world.inFlight) {
            next.add(world.with(world.sent, world.read, world.finished + 1, false, world.state));
        } else if (world.waits()) {
            boolean refused = world.refusedFrom >= 0 && world.finished >= world.refusedFrom;
            next.add(world.with(world.sent, world.read, world.finished + (refused ? 1 : 0), !refused, world.state));
        }
        Ending ending = ending(world, close, leftOut);
        boolean isLastReadFull = ending == Ending.IN_ORDER && world.read < world.sent && leftOut != LeftOut.LAST_READ;
        if (ending == Ending.NONE || isLastReadFull) {
            return isLastReadFull ? List.of(read(world, close, leftOut)) : next;
        }
        return List.of(new World(world.messages, world.sent, world.read, world.refusedFrom, world.finished,
                world.inFlight, world.behind, world.state, world.dropped, true));
    }

    /** Reads one part; whether more is left is known only after it. */
    private static World read(World world, PendingClose close, LeftOut leftOut) {
        boolean isDropped = leftOut == LeftOut.DROPPED_INPUT && world.state != State.OPEN && world.inFlight;
        boolean refuses = leftOut != LeftOut.REFUSAL && close.refusesInput(world.behind);
        int refusedFrom = refuses && world.refusedFrom < 0 ? world.complete() : world.refusedFrom;
        return new World(world.messages, world.sent, world.read + 1, refusedFrom, world.finished, world.inFlight,
                world.read + 1 < world.sent, world.state, world.dropped || isDropped, false);
    }

    private static Ending ending(World world, PendingClose close, LeftOut leftOut) {
        boolean waits = world.waits() && !world.dropped; // the session does not know of what was dropped
        boolean awaits = world.inFlight && leftOut != LeftOut.WAITING;
        boolean owes = waits && leftOut != LeftOut.OWED || world.isPartial() && leftOut != LeftOut.PARTIAL;
        boolean owesMessage = waits && leftOut != LeftOut.OWED_BY_ENDLESS;
        return close.ending(awaits, false, owes, () -> owesMessage);
    }

    /** What a world breaks; null for nothing. An endless client sees by a reset that the rest was not read. */
    private static String violation(World world) {
        if (!world.ended) {
            return null;
        }
        boolean isCutOff = world.state == State.PENDING && (world.isPartial() || world.read < world.sent);
        return world.isUnanswered() || isCutOff ? "a message that was sent has no answer: " + world : null;
    }

    /** What the worlds of up to three messages break; a session that is to close and does not is a violation too. */
    private static Set<String> explore(LeftOut leftOut, int[] counts) {
        Set<String> violations = new HashSet<>();
        for (int messages = 1; messages <= 3; messages++) {
            Set<World> seen = new HashSet<>();
            ArrayDeque<World> open = new ArrayDeque<>();
            World start = new World(messages, 0, 0, -1, 0, false, false, State.OPEN, false, false);
            open.add(start);
            seen.add(start);
            while (!open.isEmpty()) {
                World world = open.poll();
                String violation = violation(world);
                if (violation != null) {
                    violations.add(violation);
                }
                List<World> next = !world.ended ? next(world, leftOut) : List.of();
                boolean allSent = world.sent == messages * PARTS && world.state != State.OPEN;
                if (!world.ended && allSent && next.isEmpty()) {
                    violations.add("the session does not end: " + world);
                }
                counts[1] += next.size();
                next.stream().filter(seen::add).forEach(open::add);
            }
            counts[0] += seen.size();
        }
        return violations;
    }

    @Test void noOrderOfEventsLosesAMessageOrKeepsTheSessionOpen() {
        int[] counts = new int[2];
        long start = System.nanoTime();
        assertEquals(Set.of(), explore(LeftOut.NOTHING, counts));
        System.out.printf("pending close: %d worlds, %d transitions, %d ms%n", counts[0], counts[1],
                (System.nanoTime() - start) / 1_000_000);
        assertTrue(counts[0] > 500, counts[0] + " worlds");
    }

    /** Each guard is noticed here, but for refusals and endless clients: tests on sockets notice these. */
    @Test void worldsNoticeEachGuardThatIsLeftOut() {
        for (LeftOut leftOut : LeftOut.values()) {
            boolean isSeenHere = !Set.of(LeftOut.NOTHING, LeftOut.REFUSAL, LeftOut.ENDLESS).contains(leftOut);
            assertEquals(isSeenHere, !explore(leftOut, new int[2]).isEmpty(), leftOut.toString());
        }
    }

    /** Prevents that a usual client's batch is reset since it is read slowly: its client waits for an answer. */
    @Test void clientThatWaitsForAnAnswerDoesNotSendWithoutEnd() {
        PendingClose close = new PendingClose(BUSY);
        close.begin();
        for (long now = 0; now < 10 * BUSY; now++) {
            close.workChanged(true, now % BUSY == BUSY - 1, now);
            assertFalse(close.judgeEndless(now));
        }
        close.workChanged(false, false, 10 * BUSY); // all is handled
        assertFalse(close.judgeEndless(11 * BUSY));
        close.workChanged(true, false, 11 * BUSY);
        assertFalse(close.judgeEndless(12 * BUSY - 1));
        assertTrue(close.judgeEndless(12 * BUSY));
        assertFalse(close.judgeEndless(13 * BUSY), "it is told once");
        assertEquals(Ending.NONE, close.ending(false, true, false, () -> false), "an error is sent first");
    }
}
