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
 * The events of RPCs, read from the logs of one or more gateways started with -Dreedquay.trace=true: the outcome of
 * each attempt and call-out, and the explanation of each pushback. Other lines are ignored.
 */
final class RpcTrace {
    private static final Pattern RPC_LINE =
            Pattern.compile("(?:.*?(\\d\\d):(\\d\\d):(\\d\\d)\\.(\\d{3}).*?|.*?)\\brpc ([0-9a-f]+) (\\S+)(.*)");
    private static final Pattern ACCEPTED =
            Pattern.compile(" ?([^,]+), group (-?\\d+)(, a retry)?, due in (-?\\d+) ms");
    private static final Pattern CALL_OUT_ENDED = Pattern.compile(" of (\\S+) after (-?\\d+) ms");
    private static final Pattern MEMBER_STATE = Pattern.compile("(\\S+) (primary )?(UNKNOWN|REPLICA|PRIMARY) (\\w+).*");
    private static final long DAY_MILLIS = 86_400_000;

    /** One attempt of an RPC, accepted by one gateway. Times count from the first line of all logs. */
    static final class Attempt {
        final String method;
        final int group;
        final boolean retry;
        final long remainingMillis; // from atMillis to the deadline
        final long atMillis;
        String outcome = "none"; // ok, pushedback, aborted, left by its client, or none so far
        String explanation = ""; // of a pushback, as the gateway logged it
        final List<String> calledMembers = new ArrayList<>();

        Attempt(Matcher accepted, long atMillis) {
            method = accepted.group(1).trim();
            group = Integer.parseInt(accepted.group(2));
            retry = accepted.group(3) != null;
            remainingMillis = Long.parseLong(accepted.group(4));
            this.atMillis = atMillis;
        }

        /** Returns the state of the group's primary and whether the group was overloaded when it was pushed back. */
        String reason() {
            String[] stateParts = explanation.split("; ");
            String state = "no primary known";
            for (int i = 1; i < stateParts.length; i++) {
                Matcher member = MEMBER_STATE.matcher(stateParts[i]);
                if (member.matches() && member.group(2) != null) {
                    state = "primary " + member.group(3) + " " + member.group(4);
                }
            }
            return (stateParts[0].startsWith("pressed") ? "pressed, " : "")
                    + (stateParts.length < 2 ? stateParts[0] : state);
        }
    }

    /** The end of a call-out; the outcome is in the words of the log. */
    record EndedCallOut(Attempt attempt, String member, String outcome, long durationMillis, long atMillis) { }

    /** The start of a call-out. */
    record SentCallOut(Attempt attempt, String member, long atMillis) { }

    final List<Attempt> attempts = new ArrayList<>();
    final List<EndedCallOut> endedCallOuts = new ArrayList<>();
    final List<SentCallOut> sentCallOuts = new ArrayList<>();
    private long firstMillis = Long.MIN_VALUE;

    /** Reads a log file, or all files of a directory in the order of their names. */
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

    /**
     * Adds the log of one gateway. Attempts are matched by RPC ID within one log, since attempts of the same RPC at
     * different gateways share the ID that its client sends.
     */
    void read(BufferedReader reader) throws IOException {
        Map<String, Attempt> openAttempts = new HashMap<>();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            Matcher matcher = line.contains("rpc ") ? RPC_LINE.matcher(line) : null;
            if (matcher == null || !matcher.matches()) {
                continue;
            }
            long atMillis = matcher.group(1) == null ? 0
                    : millisSinceFirst(((groupAsLong(matcher, 1) * 60 + groupAsLong(matcher, 2)) * 60
                    + groupAsLong(matcher, 3)) * 1000 + groupAsLong(matcher, 4));
            Matcher accepted = ACCEPTED.matcher(matcher.group(7));
            if (matcher.group(6).equals("taken:")) {
                if (accepted.matches()) {
                    Attempt attempt = new Attempt(accepted, atMillis);
                    openAttempts.put(matcher.group(5), attempt);
                    attempts.add(attempt);
                }
            } else if (openAttempts.containsKey(matcher.group(5))) {
                addEvent(openAttempts.get(matcher.group(5)), matcher.group(6), matcher.group(7), atMillis);
            }
        }
    }

    /** Adds an event after the acceptance of an attempt; rest is the text of the line after the event's first word. */
    private void addEvent(Attempt attempt, String event, String rest, long atMillis) {
        Matcher ended = CALL_OUT_ENDED.matcher(rest);
        if (event.equals("sent")) {
            String member = rest.substring(rest.lastIndexOf(' ') + 1);
            attempt.calledMembers.add(member);
            sentCallOuts.add(new SentCallOut(attempt, member, atMillis));
        } else if (ended.matches()) {
            endedCallOuts.add(
                    new EndedCallOut(attempt, ended.group(1), event, Long.parseLong(ended.group(2)), atMillis));
        } else if (event.startsWith("rpc.")) {
            attempt.outcome = event.substring(4).replace(":", "");
            attempt.explanation = rest.trim();
        } else if (event.equals("left")) {
            attempt.outcome = event;
        }
    }

    /** Returns the time since the first line. A time over half a day before that counts as one after midnight. */
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

    /** Returns the lines of one RPC in all files, ordered by the time of day if they have one. */
    static List<String> linesOf(Path logs, String rpcId) throws IOException {
        Map<String, String> lines = new TreeMap<>();
        try (Stream<Path> files = Files.isDirectory(logs) ? Files.list(logs) : Stream.of(logs)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                int lineNumber = 0;
                for (String line : Files.readAllLines(file, StandardCharsets.ISO_8859_1)) {
                    Matcher matcher = RPC_LINE.matcher(line);
                    lineNumber++;
                    if (line.contains("rpc " + rpcId + " ") && matcher.matches()) {
                        String time = matcher.group(1) == null ? "" : line.substring(matcher.start(1), matcher.end(4));
                        lines.put(String.format(Locale.ROOT, "%s %s %08d", time, file.getFileName(), lineNumber),
                                file.getFileName() + ": " + line);
                    }
                }
            }
        }
        return List.copyOf(lines.values());
    }
}
