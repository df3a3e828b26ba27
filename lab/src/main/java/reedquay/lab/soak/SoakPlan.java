package reedquay.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * What happens in a run, drawn from its seed. crowd: further connections that send nothing; sockets: the gateway's
 * limit on descriptors; events in the order of their times.
 */
record SoakPlan(long seed, int requestsPerSecond, int crowd, int sockets, List<MethodPlan> methods,
        List<Event> events) {
    /** A method's name and its deadline. */
    record MethodPlan(String name, int softDeadlineMillis, int deadlineMillis) { }

    /** The kinds of events. */
    enum Kind {
        /** A member shows a fault of the stand-in. */
        MEMBER_FAULT,
        /** A member closes all its connections. */
        MEMBER_RESET,
        MEMBER_DRAIN,
        /** All of discovery's watches end. */
        WATCHES_CLOSED,
        /** SIGHUP several times. */
        RELOADS,
        /** SIGTERM once or twice, SIGKILL at the earliest time, and a new start on the same address. */
        RESTART,
        /** No descriptor can be opened. */
        OPEN_FILES,
        /** One in some calls of a kind fails. */
        CALL_FAILURE,
        /** The wall clock is stepped. */
        CLOCK_STEP
    }

    /** target: a member, a system call or empty; what: the fault, the errno or the step in milliseconds. */
    record Event(int atMillis, Kind kind, String target, String what, int durationMillis) {
        @Override public String toString() {
            return String.format(Locale.ROOT, "%.2f %s %s %s %d ms", atMillis / 1000.0, kind, target, what,
                    durationMillis);
        }
    }

    private static final List<String> MEMBERS = List.of("one", "two", "three");
    private static final List<String> MEMBER_FAULTS = List.of("silent", "silent", "reset", "half", "garbage", "53300",
            "72000", "XX000", "crowded", "mute", "twice");
    private static final List<String> ERRNOS_OF_SOCKET = List.of("24", "23", "105"); // EMFILE, ENFILE, ENOBUFS
    // ECONNABORTED, EMFILE, ENFILE, ENOBUFS
    private static final List<String> ERRNOS_OF_ACCEPT = List.of("103", "24", "23", "105");
    private static final List<String> ERRNOS_OF_CONNECT = List.of("99", "101", "113"); // EADDRNOTAVAIL, E*UNREACH
    private static final List<String> CLOCK_STEPS = List.of("3600000", "-3600000", "5000", "-5000");

    /** Draws the plan of a run of the given length. */
    static SoakPlan draw(long seed, int seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean crowded = random.nextInt(3) == 0;
        double scale = random.nextBoolean() ? 1 : 0.2 + 0.8 * random.nextDouble();
        List<MethodPlan> methods = List.of(new MethodPlan("catalogue", (int) (400 * scale), (int) (1500 * scale)),
                new MethodPlan("basket", (int) (600 * scale), (int) (2000 * scale)),
                new MethodPlan("history", (int) (500 * scale), (int) (1200 * scale)),
                new MethodPlan("order", (int) (1200 * scale), (int) (3000 * scale)));
        List<Event> events = new ArrayList<>();
        int count = seconds * 3 / 4;
        for (int i = 0; i < count; i++) {
            events.add(drawEvent(random, 500 + random.nextInt(seconds * 1000 - 1000)));
        }
        for (int i = 0; i < 1 + random.nextInt(2); i++) {
            events.add(new Event(1000 + random.nextInt(seconds * 1000 - 1000), Kind.RESTART, "", "",
                    random.nextInt(300)));
        }
        events.sort(Comparator.comparingInt(Event::atMillis));
        return new SoakPlan(seed, 60 + random.nextInt(140), crowded ? 120 : 0, crowded ? 256 : 1024, methods, events);
    }

    private static Event drawEvent(SplittableRandom random, int atMillis) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        int duration = 200 + random.nextInt(1800);
        return switch (kind) {
            case MEMBER_FAULT ->
                    new Event(atMillis, kind, pick(random, MEMBERS), pick(random, MEMBER_FAULTS), duration);
            case MEMBER_RESET -> new Event(atMillis, kind, pick(random, MEMBERS), "", 0);
            // the primary stays, since there is no election
            case MEMBER_DRAIN -> new Event(atMillis, kind, MEMBERS.get(1 + random.nextInt(2)), "", duration + 500);
            case WATCHES_CLOSED -> new Event(atMillis, kind, "", "", 0);
            case RELOADS, RESTART -> new Event(atMillis, Kind.RELOADS, "", "", duration / 4);
            case OPEN_FILES -> new Event(atMillis, kind, "", "", duration / 2);
            case CALL_FAILURE -> drawCallFailure(random, atMillis, duration);
            case CLOCK_STEP -> new Event(atMillis, kind, "", pick(random, CLOCK_STEPS), duration);
        };
    }

    private static Event drawCallFailure(SplittableRandom random, int atMillis, int duration) {
        FaultLibrary.Call call = FaultLibrary.Call.values()[random.nextInt(FaultLibrary.Call.values().length)];
        List<String> errnos = switch (call) {
            case SOCKET -> ERRNOS_OF_SOCKET;
            case ACCEPT -> ERRNOS_OF_ACCEPT;
            case CONNECT -> ERRNOS_OF_CONNECT;
        };
        return new Event(atMillis, Kind.CALL_FAILURE, call.name(), pick(random, errnos), duration);
    }

    private static String pick(SplittableRandom random, List<String> values) {
        return values.get(random.nextInt(values.size()));
    }

    int longestDeadlineMillis() {
        return methods.stream().mapToInt(MethodPlan::deadlineMillis).max().orElseThrow();
    }
}
