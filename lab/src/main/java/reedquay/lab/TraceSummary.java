package reedquay.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.function.Function;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints tables of the outcomes of RPCs and the reasons of pushbacks, summed over the logs of gateways. */
@Command(name = "why", mixinStandardHelpOptions = true, description = "Outcomes of RPCs and reasons of pushbacks,"
        + " from the logs of gateways started with -Dreedquay.trace=true.")
final class TraceSummary implements Callable<Integer> {
    @Spec private CommandSpec spec;
    @Parameters(paramLabel = "LOGS", description = "a directory with one log file per gateway, or one file")
    private Path logs;
    @Option(names = "--from", defaultValue = "0", description = "start of the time range, in seconds after the first"
            + " line; attempts accepted earlier are left out")
    private double fromSeconds;
    @Option(names = "--to", defaultValue = "1e9", description = "end of the time range, in seconds after the first"
            + " line; attempts accepted later are left out")
    private double toSeconds;
    @Option(names = "--method", description = "print the reasons of this method's pushbacks; default: all methods")
    private String method;
    @Option(names = "--by-second", description = "also print first attempts, all attempts and those served, per"
            + " second")
    private boolean bySecond;
    @Option(names = "--group", description = "also print the call-outs sent to and answered by each member of this"
            + " group, per two seconds")
    private Integer group;
    @Option(names = "--rpc", description = "print only the lines of the RPC with this ID, in hexadecimal as in the"
            + " statement's comment")
    private String rpcId;

    @Override public Integer call() throws IOException {
        if (!Files.exists(logs)) {
            throw new ParameterException(spec.commandLine(), logs + " does not exist; name the folder of the logs");
        }
        if (rpcId != null) {
            List<String> lines = RpcTrace.linesOf(logs, rpcId);
            lines.forEach(System.out::println);
            return reportIfEmpty(lines.isEmpty(), "no line of RPC " + rpcId);
        }
        RpcTrace trace = RpcTrace.read(logs);
        if (reportIfEmpty(trace.attempts.isEmpty(), "no trace of any RPC") != 0) {
            return 1;
        }
        trace.attempts.removeIf(t -> outsideRange(t.atMillis));
        trace.endedCallOuts.removeIf(e -> outsideRange(e.attempt().atMillis));
        trace.sentCallOuts.removeIf(s -> outsideRange(s.attempt().atMillis));
        methodTable(trace).forEach(System.out::println);
        pushbackTable(trace, method).forEach(System.out::println);
        if (bySecond) {
            secondTable(trace).forEach(System.out::println);
        }
        if (group != null) {
            memberTable(trace, group).forEach(System.out::println);
        }
        return 0;
    }

    /** Returns the exit status: 1, with an error message, if nothing was found, else 0. */
    private int reportIfEmpty(boolean empty, String missing) {
        if (empty) {
            System.err.println(missing + " in " + logs + "; start the gateways with -Dreedquay.trace=true before -jar");
        }
        return empty ? 1 : 0;
    }

    private boolean outsideRange(long atMillis) {
        return atMillis < fromSeconds * 1000 || atMillis >= toSeconds * 1000;
    }

    /** Returns the table of attempts and call-outs of each method by outcome. */
    static List<String> methodTable(RpcTrace trace) {
        List<String> lines = new ArrayList<>(List.of("",
                "| method | tries | of them retries | left under 300 ms | first tries ok | retries ok | how tries ended"
                        + " | call-outs | how they ended, with mean ms |",
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"));
        for (String name : new TreeSet<>(trace.attempts.stream().map(t -> t.method).toList())) {
            List<RpcTrace.Attempt> attempts = trace.attempts.stream().filter(t -> t.method.equals(name)).toList();
            List<RpcTrace.EndedCallOut> ended =
                    trace.endedCallOuts.stream().filter(e -> e.attempt().method.equals(name)).toList();
            Map<String, long[]> sumsByOutcome = new TreeMap<>();
            ended.forEach(e -> {
                long[] sum = sumsByOutcome.computeIfAbsent(e.outcome(), outcome -> new long[2]);
                sum[0]++;
                sum[1] += e.durationMillis();
            });
            List<String> outcomes = new ArrayList<>();
            sumsByOutcome.forEach((outcome, sum) ->
                    outcomes.add(outcome + " " + sum[0] + " (" + sum[1] / sum[0] + ")"));
            lines.add("| " + name + " | " + attempts.size() + " | " + count(attempts, t -> t.retry) + " | "
                    + count(attempts, t -> t.remainingMillis < 300) + " | "
                    + count(attempts, t -> !t.retry && t.outcome.equals("ok")) + " | "
                    + count(attempts, t -> t.retry && t.outcome.equals("ok")) + " | "
                    + countByWord(attempts.stream().map(t -> t.outcome)) + " | "
                    + attempts.stream().mapToInt(t -> t.calledMembers.size()).sum() + " | "
                    + String.join(", ", outcomes) + " |");
        }
        return lines;
    }

    /** Returns the table of the 16 most frequent reasons of pushbacks; a null method stands for all. */
    static List<String> pushbackTable(RpcTrace trace, String method) {
        List<RpcTrace.Attempt> pushedBack = trace.attempts.stream().filter(t -> t.outcome.equals("pushedback"))
                .filter(t -> method == null || t.method.equals(method)).toList();
        List<String> lines = new ArrayList<>(List.of("",
                "| pushed back, " + (method == null ? "all methods" : method) + " | of " + pushedBack.size() + " |",
                "| --- | --- |"));
        Map<String, Integer> sums = new TreeMap<>();
        pushedBack.forEach(t -> sums.merge(t.reason(), 1, Integer::sum));
        sums.entrySet().stream().sorted(Map.Entry.<String, Integer>comparingByValue().reversed()).limit(16)
                .forEach(e -> lines.add(String.format(Locale.ROOT, "| %s | %.3f |", e.getKey(),
                        e.getValue() / (double) pushedBack.size())));
        return lines;
    }

    /** Returns the table of attempts of each method per second. */
    private static List<String> secondTable(RpcTrace trace) {
        TreeSet<String> names = new TreeSet<>(trace.attempts.stream().map(attempt -> attempt.method).toList());
        List<String> lines = new ArrayList<>(List.of("", "| second | " + String.join(" | ", names) + " |",
                "| --- |" + " --- |".repeat(names.size())));
        Map<Long, Map<String, int[]>> sums = new TreeMap<>();
        for (RpcTrace.Attempt attempt : trace.attempts) {
            int[] sum = sums.computeIfAbsent(Math.floorDiv(attempt.atMillis, 1000), s -> new LinkedHashMap<>())
                    .computeIfAbsent(attempt.method, m -> new int[3]);
            sum[0] += attempt.outcome.equals("ok") ? 1 : 0;
            sum[1] += attempt.retry ? 0 : 1;
            sum[2]++;
        }
        sums.forEach((second, byMethod) -> lines.add("| " + second + " | "
                + String.join(" | ", names.stream().map(name -> {
            int[] sum = byMethod.getOrDefault(name, new int[3]);
            return sum[0] + " ok of " + sum[1] + " first, " + sum[2] + " tries";
        }).toList()) + " |"));
        return lines;
    }

    /** Returns the table of call-outs of each member of a group, answered successfully and sent, per two seconds. */
    static List<String> memberTable(RpcTrace trace, int group) {
        Map<String, TreeMap<Long, int[]>> sums = new TreeMap<>();
        TreeSet<Long> steps = new TreeSet<>();
        trace.sentCallOuts.stream().filter(sent -> sent.attempt().group == group).forEach(sent -> {
            steps.add(Math.floorDiv(sent.atMillis(), 2000));
            sums.computeIfAbsent(sent.member(), member -> new TreeMap<>())
                    .computeIfAbsent(Math.floorDiv(sent.atMillis(), 2000), k -> new int[2])[0]++;
        });
        trace.endedCallOuts.stream().filter(ended -> ended.attempt().group == group
                && ended.outcome().equals("OK")).forEach(ended -> {
            steps.add(Math.floorDiv(ended.atMillis(), 2000));
            sums.computeIfAbsent(ended.member(), member -> new TreeMap<>())
                    .computeIfAbsent(Math.floorDiv(ended.atMillis(), 2000), k -> new int[2])[1]++;
        });
        List<String> lines = new ArrayList<>(List.of("", "| member of group " + group + ", answered / sent | "
                + String.join(" | ", steps.stream().map(step -> "from " + step * 2 + " s").toList()) + " |",
                "| --- |" + " --- |".repeat(steps.size())));
        sums.forEach((member, byStep) -> lines.add("| " + member + " | "
                + String.join(" | ", steps.stream().map(step -> {
            int[] sum = byStep.getOrDefault(step, new int[2]);
            return sum[1] + " / " + sum[0];
        }).toList()) + " |"));
        return lines;
    }

    private static long count(List<RpcTrace.Attempt> attempts, Function<RpcTrace.Attempt, Boolean> condition) {
        return attempts.stream().filter(condition::apply).count();
    }

    /** Returns the distinct words, each with its number of occurrences, separated by commas. */
    private static String countByWord(Stream<String> words) {
        Map<String, Integer> counts = new TreeMap<>();
        words.forEach(w -> counts.merge(w, 1, Integer::sum));
        List<String> parts = new ArrayList<>();
        counts.forEach((w, n) -> parts.add(w + " " + n));
        return String.join(", ", parts);
    }
}
