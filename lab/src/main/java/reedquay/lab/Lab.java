package reedquay.lab;

import static reedquay.lab.FairQueueScenarios.*;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedquay.lab.FairQueueScenarios.AdmissionMode;
import reedquay.lab.GatewaySimulation.RequestStream;
import reedquay.lab.GatewaySimulation.RetryPolicy;
import reedquay.lab.flood.DepartureCommand;
import reedquay.lab.flood.FloodCommand;
import reedquay.lab.restart.RestartCommand;
import reedquay.lab.soak.SoakCommand;

/** The command line of the lab: reproducible measurements, of which each command prints a table in Markdown. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Measurements of reedquay.",
        subcommands = {Lab.GreedyClient.class, Lab.RetryAfterAccuracy.class, Lab.EvenClients.class,
            Lab.QueueDisciplines.class, Lab.AdmissionCost.class, LoadGenerator.class, FleetCommand.class,
            TraceSummary.class, JournalTable.class, SoakCommand.class, FloodCommand.class,
            DepartureCommand.class, RestartCommand.class})
public final class Lab {
    private Lab() { }

    /** Runs a command and exits with its status. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }

    /** Measures the utility of other clients beside one that exceeds its share, for each kind of admission control. */
    @Command(name = "greedy", mixinStandardHelpOptions = true,
            description = "Utility of others beside one client that sends many times its share; in simulated time.")
    static final class GreedyClient implements Callable<Integer> {
        @Option(names = "--times", defaultValue = "20", description = "load of the greedy client, as a multiple of"
                + " its share")
        private double shareMultiple;
        @Option(names = "--clients", defaultValue = "50", description = "number of other clients")
        private int otherClients;
        @Option(names = "--load", defaultValue = "0.8", description = "load of the other clients together, as a"
                + " fraction of the capacity")
        private double othersLoad;
        @Option(names = "--seeds", defaultValue = "5", description = "number of runs, with seeds from 1")
        private int seeds;
        @Option(names = "--seconds", defaultValue = "30", description = "duration of the load in each run")
        private int seconds;
        @Option(names = "--manner", defaultValue = "EAGER",
                description = "retry policy of the greedy client: ${COMPLETION-CANDIDATES}")
        private RetryPolicy retryPolicy;

        @Option(names = "--verbose", description = "also print the tables of admission control")
        private boolean verbose;

        @Override public Integer call() {
            System.out.println("| before the Router | others' utility, without it = 1 | greedy had"
                    + " | came as told, in time | served, of capacity |\n| --- | --- | --- | --- | --- |");
            for (AdmissionMode admissionMode : AdmissionMode.values()) {
                List<double[]> rows = new ArrayList<>();
                for (int seed = 1; seed <= seeds; seed++) {
                    rows.add(run(admissionMode, seed));
                }
                StringBuilder line = new StringBuilder("| "
                        + admissionMode.name().toLowerCase(Locale.ROOT).replace('_', ' '));
                for (int index = 0; index < 4; index++) {
                    int column = index;
                    double[] sorted = rows.stream().mapToDouble(r -> r[column]).sorted().toArray();
                    line.append(String.format(Locale.ROOT, " | %.3f (%.3f to %.3f)", sorted[sorted.length / 2],
                            sorted[0], sorted[sorted.length - 1]));
                }
                System.out.println(line + " |");
            }
            return 0;
        }

        /** Returns the four figures of a row for one seed. */
        private double[] run(AdmissionMode admissionMode, long seed) {
            double shareWithoutGreedy = 0;
            double[] figures = new double[4];
            for (boolean withGreedy : new boolean[] {false, true}) {
                GatewaySimulation simulation = simulation(threeTenants(), seed, admissionMode, 1000);
                List<RequestStream> others = new ArrayList<>();
                for (String tenant : List.of("red", "green", "blue")) {
                    others.addAll(addEvenClients(simulation, tenant, otherClients / 3, CHEAP, othersLoad / 3,
                            RetryPolicy.POLITE, seconds * 1000 * MS));
                }
                RequestStream greedy = new RequestStream("red", "greedy", CHEAP,
                        withGreedy ? shareMultiple * CAPACITY_PER_SECOND / (others.size() + 1) : 0, retryPolicy, 0,
                        seconds * 1000 * MS);
                simulation.addStream(greedy);
                simulation.runUntil(seconds * 1000 + 3000);
                double share = utilityShare(others);
                if (!withGreedy) {
                    shareWithoutGreedy = share;
                } else {
                    long advisedRetries = others.stream().mapToLong(s -> s.advisedRetries).sum();
                    long inTime = others.stream().mapToLong(s -> s.advisedRetriesInTime).sum();
                    double workNanos = greedy.workNanos + others.stream().mapToDouble(s -> s.workNanos).sum();
                    figures = new double[] {share / shareWithoutGreedy, greedy.utilityShare(),
                        advisedRetries == 0 ? 1 : inTime / (double) advisedRetries,
                        workNanos / (4.0 * seconds * 1000 * MS)};
                }
                if (withGreedy && verbose) {
                    long advisedRetries = others.stream().mapToLong(s -> s.advisedRetries).sum();
                    System.out.println(admissionMode + ": retries of others at the advised time " + advisedRetries
                            + ", RPCs of the greedy client " + greedy.rpcs);
                    if (simulation.engine() instanceof reedquay.core.Stage stage) {
                        for (String table : List.of("tenants", "ways", "clients")) {
                            stage.statisticsTable(table).stream().limit(8)
                                    .forEach(r -> System.out.println(String.join("  ", r)));
                        }
                    }
                }
                if (simulation.ruleViolations + simulation.heldTooLong > 0) {
                    System.err.println("violations of rule 1 " + simulation.ruleViolations
                            + ", RPCs held for more than half of their time and pushed back " + simulation.heldTooLong);
                }
            }
            return figures;
        }
    }

    /** Measures how many retries sent at the advised time are served in time, by load. */
    @Command(name = "promised", mixinStandardHelpOptions = true,
            description = "Service of clients that retry at the advised time, by load; in simulated time.")
    static final class RetryAfterAccuracy implements Callable<Integer> {
        @Option(names = "--seeds", defaultValue = "5", description = "number of runs, with seeds from 1")
        private int seeds;

        @Override public Integer call() {
            System.out.println("| asked for, of the capacity | came as told | served in time | ms to the answer,"
                    + " 50% | 90% | 99% | utility of all |\n| --- | --- | --- | --- | --- | --- | --- |");
            for (double load : new double[] {1.1, 1.5, 2, 3}) {
                Histogram latency = new Histogram(3);
                long advisedRetries = 0;
                long inTime = 0;
                double share = 0;
                for (int seed = 1; seed <= seeds; seed++) {
                    GatewaySimulation simulation = simulation(threeTenants(), seed, AdmissionMode.CLIENTS, 1000);
                    List<RequestStream> streams = new ArrayList<>();
                    for (String tenant : List.of("red", "green", "blue")) {
                        streams.addAll(addEvenClients(simulation, tenant, 16, CHEAP, load / 3,
                                RetryPolicy.POLITE, 20_000 * MS));
                    }
                    simulation.runUntil(23_000);
                    streams.forEach(s -> latency.add(s.advisedRetryLatency));
                    advisedRetries += streams.stream().mapToLong(s -> s.advisedRetries).sum();
                    inTime += streams.stream().mapToLong(s -> s.advisedRetriesInTime).sum();
                    share += utilityShare(streams) / seeds;
                }
                System.out.printf(Locale.ROOT, "| %.1f | %,d | %.3f | %d | %d | %d | %.3f |%n", load, advisedRetries,
                        inTime / (double) advisedRetries, latency.getValueAtPercentile(50) / MS,
                        latency.getValueAtPercentile(90) / MS, latency.getValueAtPercentile(99) / MS, share);
            }
            return 0;
        }
    }

    /** Measures Jain's fairness index of the RPCs served of equal clients, in windows of five seconds. */
    @Command(name = "even", mixinStandardHelpOptions = true,
            description = "Fairness among equal clients at twice the capacity; in simulated time.")
    static final class EvenClients implements Callable<Integer> {
        @Option(names = "--clients", defaultValue = "1000", description = "number of clients")
        private int clients;
        @Option(names = "--cores", defaultValue = "40", description = "cores of each member")
        private int cores;

        @Override public Integer call() {
            System.out.println("| before the Router | least Jain's index of RPCs served in 5 s,"
                    + " of 5 windows |\n| --- | --- |");
            for (AdmissionMode admissionMode
                    : List.of(AdmissionMode.CLIENTS, AdmissionMode.FIRST_COME, AdmissionMode.NOTHING)) {
                GatewaySimulation simulation = simulation(threeTenants(), 1, admissionMode, 20_000, cores);
                List<RequestStream> streams = addEvenClients(simulation, "red", clients, CHEAP, cores,
                        RetryPolicy.POLITE, 30_000 * MS);
                double[] servedBefore = new double[clients];
                double[] leastIndex = {1};
                for (int second = 5; second <= 30; second += 5) {
                    boolean first = second == 5;
                    simulation.runAt(second * 1000, () -> {
                        double[] served = new double[clients];
                        for (int i = 0; i < clients; i++) {
                            served[i] = streams.get(i).served - servedBefore[i];
                            servedBefore[i] = streams.get(i).served;
                        }
                        leastIndex[0] = first ? 1 : Math.min(leastIndex[0], jainIndex(served));
                    });
                }
                simulation.runUntil(31_000);
                System.out.printf(Locale.ROOT, "| %s | %.4f |%n", admissionMode.name().toLowerCase(Locale.ROOT),
                        leastIndex[0]);
            }
            return 0;
        }
    }

    /** Compares queueing disciplines that were considered for admission control. */
    @Command(name = "disciplines", mixinStandardHelpOptions = true,
            description = "Queueing disciplines compared on a model of one server.")
    static final class QueueDisciplines implements Callable<Integer> {
        @Override public Integer call() {
            System.out.println("| way | clients | light ones in time | the worst hundredth of them"
                    + " | the greedy one | bytes |\n| --- | --- | --- | --- | --- | --- |");
            for (int clients : new int[] {100, 10_000, 1_000_000}) {
                QueueingDisciplines.all(7).forEach((name, discipline) ->
                        System.out.println(QueueingDisciplines.tableRow(name, discipline, clients, 1)));
            }
            return 0;
        }
    }

    /** Runs the JMH benchmarks of admission control. */
    @Command(name = "cost", mixinStandardHelpOptions = true,
            description = "Cost of admission control per RPC, by JMH benchmarks.")
    static final class AdmissionCost implements Callable<Integer> {
        @Option(names = "--only", defaultValue = "DoorCost",
                description = "regular expression of the names of the benchmarks to run")
        private String namePattern;

        @Override public Integer call() throws Exception {
            new org.openjdk.jmh.runner.Runner(new org.openjdk.jmh.runner.options.OptionsBuilder()
                    .include(namePattern).addProfiler("gc").build()).run();
            return 0;
        }
    }
}
