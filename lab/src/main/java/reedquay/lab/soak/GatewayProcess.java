package reedquay.lab.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway in a process of its own, started with the flags of deploy/balancer.toml. */
public final class GatewayProcess {
    private static final Pattern LISTENING = Pattern.compile("listening on /?([0-9.]+):(\\d+)");
    private static final Pattern COUNTER = Pattern.compile("([a-z][a-zA-Z0-9. ]*)=(-?\\d+)");
    private static final int START_TIMEOUT_SECONDS = 30;
    private static final List<String> FLAGS = List.of("-Xlog:disable", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-Xms40m", "-Xmx48m", "-XX:MaxDirectMemorySize=64m", "-XX:ReservedCodeCacheSize=24m", "-XX:-UsePerfData",
            "-Xss512k", "-Djava.util.logging.SimpleFormatter.format=%1$tT.%1$tL %4$s %5$s%n");

    private final Process process;
    private final List<String> lines = new ArrayList<>();
    private final CountDownLatch listening = new CountDownLatch(1);
    private final CountDownLatch outputEnded = new CountDownLatch(1);
    private volatile InetSocketAddress address;

    /** Starts the process, with these variables beside the usual ones, and waits until it listens. */
    public GatewayProcess(Path jar, Path config, Map<String, String> variables)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(List.of("-jar", jar.toString(), "serve", config.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(variables);
        process = builder.start();
        Thread reader = new Thread(this::readOutput, "gateway-output");
        reader.setDaemon(true);
        reader.start();
        if (!listening.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS) || address == null) {
            process.destroyForcibly();
            throw new IOException("the gateway does not listen: " + output());
        }
    }

    private void readOutput() {
        try (BufferedReader output = process.inputReader()) {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                synchronized (lines) {
                    lines.add(line);
                }
                Matcher matcher = LISTENING.matcher(line);
                if (matcher.matches()) {
                    address = new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
                    listening.countDown();
                }
            }
        } catch (IOException e) {
            return; // the process was killed
        } finally {
            listening.countDown();
            outputEnded.countDown();
        }
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return address;
    }

    /** What the process has printed so far. */
    public String output() {
        synchronized (lines) {
            return String.join("\n", lines);
        }
    }

    /** Sends a signal by its name, without SIG. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Sets the soft limit on open files of the running process. */
    void limitOpenFiles(int limit) throws IOException, InterruptedException {
        new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()), "--nofile=" + limit + ":").start()
                .waitFor();
    }

    /** The most memory that the process had resident so far, in KB; 0 once it has ended. */
    public long peakKilobytes() throws IOException {
        Path status = Path.of("/proc/" + process.pid() + "/status");
        if (!isAlive()) {
            return 0;
        }
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return 0;
    }

    /** The number of open descriptors; 0 once the process has ended. */
    int openFiles() {
        String[] descriptors = Path.of("/proc/" + process.pid() + "/fd").toFile().list();
        return descriptors == null ? 0 : descriptors.length;
    }

    /** Whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until the process ends, and kills it at the given System.nanoTime(). Returns whether it was killed. */
    public boolean awaitEndOrKill(long killAt) throws InterruptedException {
        boolean ended = process.waitFor(Math.max(0, killAt - System.nanoTime()), TimeUnit.NANOSECONDS);
        if (!ended) {
            process.destroyForcibly().waitFor();
        }
        outputEnded.await(1, TimeUnit.SECONDS);
        return !ended;
    }

    int exitStatus() {
        return process.exitValue();
    }

    /** The value of a counter printed at the end of a shutdown; 0 where it was not printed. */
    long finalCounter(String name) {
        return finalCounters().stream().filter(c -> c.group(1).equals(name)).mapToLong(c -> Long.parseLong(c.group(2)))
                .sum();
    }

    /** The counters printed at the end of a shutdown, by name; empty where they were not printed. */
    public Map<String, Long> finalCounterValues() {
        Map<String, Long> values = new TreeMap<>();
        finalCounters().forEach(c -> values.put(c.group(1), Long.parseLong(c.group(2))));
        return values;
    }

    /** The counters of broken invariants and lost messages that are not 0, as they were printed. */
    public List<String> brokenInvariants() {
        return finalCounters().stream().filter(c -> !c.group(2).equals("0"))
                .filter(c -> c.group(1).startsWith("broken.") || c.group(1).equals("client.closed.owing")
                        || c.group(1).equals("client.discarded") || c.group(1).equals("client.failed")
                        || c.group(1).equals("log.failed"))
                .map(Matcher::group).toList();
    }

    private List<Matcher> finalCounters() {
        String text = output();
        int start = text.lastIndexOf("counters {");
        List<Matcher> found = new ArrayList<>();
        Matcher matcher = COUNTER.matcher(start < 0 ? "" : text.substring(start));
        while (matcher.find()) {
            Matcher copy = COUNTER.matcher(matcher.group());
            copy.matches();
            found.add(copy);
        }
        return found;
    }
}
