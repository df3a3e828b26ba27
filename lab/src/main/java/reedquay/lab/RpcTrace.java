package reedquay.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The ways of RPCs, as gateways log them with -Dreedquay.trace=true, read from files of many gateways: what became of
 * each try and call-out, and what the pushbacks went by. A line that is none of these is passed over.
 */
final class RpcTrace {
    private static final Pattern RPC_LINE =
            Pattern.compile("(?:.*?(\\d\\d):(\\d\\d):(\\d\\d)\\.(\\d{3}).*?|.*?)\\brpc ([0-9a-f]+) (\\S+)(.*)");
    private static final Pattern ACCEPTED = Pattern.compile(" ?([^,]+), group (-?\\d+)(, a retry)?, due in (-?\\d+) ms");
    private static final Pattern CALL_OUT_ENDED = Pattern.compile(" of (\\S+) after (-?\\d+) ms");
    private static final Pattern MEMBER_STATE = Pattern.compile("(\\S+) (primary )?(UNKNOWN|REPLICA|PRIMARY) (\\w+).*");
    private static final long DAY_MILLIS = 86_400_000;

    /** One try at one gateway; times in milliseconds from the first line of all. */
    static final class Attempt {
        final String method;
        final int group;
        final boolean retry;
        final long deadlineMillis;
        final long atMillis;
        String outcome = "none"; // ok, pushedback, aborted, left, or none yet
        String explanation = "";
        final List<String> members = new ArrayList<>();

        Attempt(Matcher accepted, long atMillis) {
            method = accepted.group(1).trim();
            group = Integer.parseInt(accepted.group(2));
            retry = accepted.group(3) != null;
            deadlineMillis = Long.parseLong(accepted.group(4));
            this.atMillis = atMillis;
        }

        /** The state of the group's primary, and whether the group was pressed. */
        String reason() {
            String[] parts = explanation.split("; ");
            String state = "no primary known";
            for (int i = 1; i < parts.length; i++) {
                Matcher member = MEMBER_STATE.matcher(parts[i]);
                if (member.matches() && member.group(2) != null) {
                    state = "primary " + member.group(3) + " " + member.group(4);
                }
            }
            return (parts[0].startsWith("pressed") ? "pressed, " : "") + (parts.length < 2 ? parts[0] : state);
        }
    }

    /** A call-out that ended. */
    record EndedCallOut(Attempt attempt, String member, String outcome, long durationMillis, long atMillis) { }

    /** A call-out that went. */
    record SentCallOut(Attempt attempt, String member, long atMillis) { }

    final List<Attempt> attempts = new ArrayList<>();
    final List<EndedCallOut> endedCallOuts = new ArrayList<>();
    final List<SentCallOut> sentCallOuts = new ArrayList<>();
    private long firstMillis = Long.MIN_VALUE;

    /** Every file of that folder, or that file alone, in the order of names. */
    static RpcTrace read(Path logs) throws IOException {
        RpcTrace trace = new RpcTrace();
        try (Stream<Path> files = Files.isDirectory(logs) ? Files.list(logs) : Stream.of(logs)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.ISO_8859_1)) {
                    trace.read(reader);
                }
            }
        }
        return trace;
    }

    /** One gateway's log: ids are the wire's, but a try belongs to the gateway that took it. */
    void read(BufferedReader reader) throws IOException {
        Map<String, Attempt> open = new HashMap<>();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            Matcher matcher = line.contains("rpc ") ? RPC_LINE.matcher(line) : null;
            if (matcher == null || !matcher.matches()) {
                continue;
            }
            long atMillis = matcher.group(1) == null ? 0 : millisSinceFirst(((groupAsLong(matcher, 1) * 60 + groupAsLong(matcher, 2)) * 60 + groupAsLong(matcher, 3)) * 1000
                    + groupAsLong(matcher, 4));
            Matcher accepted = ACCEPTED.matcher(matcher.group(7));
            if (matcher.group(6).equals("taken:")) {
                if (accepted.matches()) {
                    Attempt attempt = new Attempt(accepted, atMillis);
                    open.put(matcher.group(5), attempt);
                    attempts.add(attempt);
                }
            } else if (open.containsKey(matcher.group(5))) {
                addEvent(open.get(matcher.group(5)), matcher.group(6), matcher.group(7), atMillis);
            }
        }
    }

    private void addEvent(Attempt attempt, String event, String rest, long atMillis) {
        Matcher ended = CALL_OUT_ENDED.matcher(rest);
        if (event.equals("sent")) {
            String member = rest.substring(rest.lastIndexOf(' ') + 1);
            attempt.members.add(member);
            sentCallOuts.add(new SentCallOut(attempt, member, atMillis));
        } else if (ended.matches()) {
            endedCallOuts.add(new EndedCallOut(attempt, ended.group(1), event, Long.parseLong(ended.group(2)), atMillis));
        } else if (event.startsWith("rpc.")) {
            attempt.outcome = event.substring(4).replace(":", "");
            attempt.explanation = rest.trim();
        } else if (event.equals("left")) {
            attempt.outcome = event;
        }
    }

    /** Logs that run over midnight go on. */
    private long millisSinceFirst(long millisOfDay) {
        if (firstMillis == Long.MIN_VALUE) {
            firstMillis = millisOfDay;
        }
        long elapsed = millisOfDay - firstMillis;
        return elapsed < -DAY_MILLIS / 2 ? elapsed + DAY_MILLIS : elapsed;
    }

    private static long groupAsLong(Matcher matcher, int group) {
        return Long.parseLong(matcher.group(group));
    }

    /** The lines of one RPC in all files, in the order of time where they tell it. */
    static List<String> linesOf(Path logs, String id) throws IOException {
        Map<String, String> lines = new TreeMap<>();
        try (Stream<Path> files = Files.isDirectory(logs) ? Files.list(logs) : Stream.of(logs)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                int number = 0;
                for (String line : Files.readAllLines(file, StandardCharsets.ISO_8859_1)) {
                    Matcher matcher = RPC_LINE.matcher(line);
                    number++;
                    if (line.contains("rpc " + id + " ") && matcher.matches()) {
                        String time = matcher.group(1) == null ? "" : line.substring(matcher.start(1), matcher.end(4));
                        lines.put(String.format(Locale.ROOT, "%s %s %08d", time, file.getFileName(), number),
                                file.getFileName() + ": " + line);
                    }
                }
            }
        }
        return List.copyOf(lines.values());
    }
}
