package reedquay.lab.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Judges the clients' and members' records of a run by rules 1 to 3 and the terms on clients that leave. An account of
 * its own: the gateway's counters play no part. Rules 4 and 5 are not judged.
 */
final class RuleChecker {
    private static final long SLACK_MILLIS = 50;
    private static final long LOST_AFTER_MILLIS = 500;
    private static final long LEFT_GRACE_MILLIS = 100;
    private static final long DEDUPLICATION_WINDOW_MILLIS = 2_000;
    private static final long DRAIN_GRACE_MILLIS = 500;

    private final Arrivals arrivals;
    private final List<String> violations = new ArrayList<>();

    RuleChecker(Arrivals arrivals) {
        this.arrivals = arrivals;
    }

    /** Judges all requests of a run, after its end, and returns a line for each violation. */
    List<String> check(Collection<SoakRequest> requests) {
        requests.forEach(this::check);
        return violations;
    }

    private void check(SoakRequest request) {
        List<Arrivals.Arrival> received = arrivals.of(request.id);
        if (request.end == SoakRequest.End.UNSENT) {
            return;
        }
        checkAnswer(request, received);
        checkEffects(request, received);
        for (Arrivals.Arrival arrival : received) {
            long afterEnd = millisBetween(request.endedAt, arrival.at());
            boolean left = request.end == SoakRequest.End.LEFT;
            long grace = left ? LEFT_GRACE_MILLIS + SLACK_MILLIS : SLACK_MILLIS;
            if (request.end != SoakRequest.End.NONE && afterEnd > grace) {
                violation(request, "sent to " + arrival.member() + " " + afterEnd + " ms after "
                        + (left ? "its client left" : "its end"));
            }
            if (arrival.drainingMillis() > DRAIN_GRACE_MILLIS + SLACK_MILLIS) {
                violation(request, "sent to " + arrival.member() + ", draining for " + arrival.drainingMillis()
                        + " ms");
            }
        }
    }

    private void checkAnswer(SoakRequest request, List<Arrivals.Arrival> received) {
        switch (request.end) {
            case NONE -> violation(request, "no answer");
            case CLOSED -> {
                if (request.partlyAnswered || request.resent || !received.isEmpty()) {
                    violation(request, "connection ended without a whole answer, received by members "
                            + received.size() + " times" + (request.resent ? ", sent again" : ""));
                }
            }
            case ANSWERED -> {
                long late = millisBetween(Math.max(request.sentAt, request.previousAnsweredAt), request.endedAt)
                        - request.deadlineMillis;
                if (late > LOST_AFTER_MILLIS + SLACK_MILLIS) {
                    violation(request, "answered " + late + " ms after its deadline");
                }
                boolean isValue = request.sqlState.isEmpty();
                if (isValue && (received.isEmpty() || request.isWrite() && !("v" + request.id).equals(request.value))) {
                    violation(request, "a value that no member made for it: " + request.value);
                }
            }
            case LEFT, UNSENT -> { }
        }
    }

    private void checkEffects(SoakRequest request, List<Arrivals.Arrival> received) {
        if (!request.isWrite()) {
            return;
        }
        List<Arrivals.Arrival> effective = received.stream().filter(Arrivals.Arrival::mayHaveRun).toList();
        if (request.end == SoakRequest.End.ANSWERED && request.isPushback() && !effective.isEmpty()) {
            violation(request, "pushed back though it may have run");
        }
        if (effective.size() > 1) {
            long apart = millisBetween(effective.get(0).at(), effective.get(effective.size() - 1).at());
            if (apart > DEDUPLICATION_WINDOW_MILLIS + SLACK_MILLIS) {
                violation(request, "repeated after " + apart + " ms");
            }
        }
    }

    private static long millisBetween(long from, long to) {
        return (to - from) / 1_000_000;
    }

    private void violation(SoakRequest request, String what) {
        violations.add("rpc " + request.id + " " + request.method + " of " + request.deadlineMillis + " ms: " + what);
    }
}
