package reedquay.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedquay.lab.FairQueueScenarios.AdmissionMode;
import reedquay.lab.GatewaySimulation.RetryPolicy;
import reedquay.lab.GatewaySimulation.RequestStream;

/** Measurements that anybody can run again: each prints a table in Markdown. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Measurements of reedquay.",
        subcommands = {Lab.Greedy.class, Lab.Promised.class, Lab.Even.class, Lab.Disciplines.class, Lab.Cost.class,
            LoadGenerator.class, FleetCommand.class, Why.class, Played.class})
public final class Lab {
    private Lab() { }

    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }

    /** One client sends twenty times its share: what everybody else has, by what stands before the Router. */
    @Command(name = "greedy", mixinStandardHelpOptions = true,
            description = "One client sends many times its share; simulated time.")
    static final class Greedy implements Callable<Integer> {
        @Option(names = "--times", defaultValue = "20", description = "its share, so many times")
        private double times;
        @Option(names = "--clients", defaultValue = "50", description = "other clients")
        private int clients;
        @Option(names = "--load", defaultValue = "0.8", description = "what they ask for, of the capacity")
        private double load;
        @Option(names = "--seeds", defaultValue = "5", description = "runs")
        private int seeds;
        @Option(names = "--seconds", defaultValue = "30", description = "of each run")
        private int seconds;
        @Option(names = "--manner", defaultValue = "EAGER", description = "of the greedy one: ${COMPLETION-CANDIDATES}")
        private RetryPolicy manner;

        @Option(names = "--verbose", description = "the door's own tables too")
        private boolean verbose;

        @Override public Integer call() {
            System.out.println("| before the Router | others' utility, without it = 1 | greedy had"
                    + " | came as told, in time | served, of capacity |\n| --- | --- | --- | --- | --- |");
            for (AdmissionMode before : AdmissionMode.values()) {
                List<double[]> rows = new ArrayList<>();
                for (int seed = 1; seed <= seeds; seed++) {
                    rows.add(run(before, seed));
                }
                StringBuilder line = new StringBuilder("| " + before.name().toLowerCase(Locale.ROOT).replace('_', ' '));
                for (int k = 0; k < 4; k++) {
                    int column = k;
                    double[] all = rows.stream().mapToDouble(r -> r[column]).sorted().toArray();
                    line.append(String.format(Locale.ROOT, " | %.3f (%.3f to %.3f)", all[all.length / 2], all[0],
                            all[all.length - 1]));
                }
                System.out.println(line + " |");
            }
            return 0;
        }

        private double[] run(AdmissionMode before, long seed) {
            double alone = 0;
            double[] figures = new double[4];
            for (boolean with : new boolean[] {false, true}) {
                GatewaySimulation street = FairQueueScenarios.simulation(FairQueueScenarios.threeTenants(), seed, before, 1000);
                List<RequestStream> others = new ArrayList<>();
                for (String tenant : List.of("red", "green", "blue")) {
                    others.addAll(FairQueueScenarios.addEvenClients(street, tenant, clients / 3, FairQueueScenarios.CHEAP, load / 3, RetryPolicy.POLITE,
                            seconds * 1000 * FairQueueScenarios.MS));
                }
                RequestStream greedy = new RequestStream("red", "greedy", FairQueueScenarios.CHEAP,
                        with ? times * FairQueueScenarios.CAPACITY_PER_SECOND / (others.size() + 1) : 0, manner, 0, seconds * 1000 * FairQueueScenarios.MS);
                street.addStream(greedy);
                street.runUntil(seconds * 1000 + 3000);
                double share = FairQueueScenarios.utilityShare(others);
                if (!with) {
                    alone = share;
                } else {
                    long told = others.stream().mapToLong(s -> s.advisedRetries).sum();
                    long inTime = others.stream().mapToLong(s -> s.advisedRetriesInTime).sum();
                    double work = greedy.workNanos + others.stream().mapToDouble(s -> s.workNanos).sum();
                    figures = new double[] {share / alone, greedy.utilityShare(), told == 0 ? 1 : inTime / (double) told,
                        work / (4.0 * seconds * 1000 * FairQueueScenarios.MS)};
                }
                if (with && verbose) {
                    long told = others.stream().mapToLong(s -> s.advisedRetries).sum();
                    System.out.println(before + " told " + told + " greedy rpcs " + greedy.rpcs);
                    if (street.engine() instanceof reedquay.core.Stage stage) {
                        for (String what : List.of("tenants", "ways", "clients")) {
                            stage.statisticsTable(what).stream().limit(8).forEach(r -> System.out.println(String.join("  ", r)));
                        }
                    }
                }
                if (street.ruleViolations + street.heldTooLong > 0) {
                    System.err.println("broken " + street.ruleViolations + ", kept back " + street.heldTooLong);
                }
            }
            return figures;
        }
    }

    /** How true the told times are, by load. */
    @Command(name = "promised", mixinStandardHelpOptions = true,
            description = "Clients that come when told, by load; simulated time.")
    static final class Promised implements Callable<Integer> {
        @Option(names = "--seeds", defaultValue = "5", description = "runs")
        private int seeds;

        @Override public Integer call() {
            System.out.println("| asked for, of the capacity | came as told | served in time | ms to the answer,"
                    + " 50% | 90% | 99% | utility of all |\n| --- | --- | --- | --- | --- | --- | --- |");
            for (double load : new double[] {1.1, 1.5, 2, 3}) {
                Histogram took = new Histogram(3);
                long told = 0;
                long inTime = 0;
                double share = 0;
                for (int seed = 1; seed <= seeds; seed++) {
                    GatewaySimulation street = FairQueueScenarios.simulation(FairQueueScenarios.threeTenants(), seed, AdmissionMode.CLIENTS, 1000);
                    List<RequestStream> all = new ArrayList<>();
                    for (String tenant : List.of("red", "green", "blue")) {
                        all.addAll(FairQueueScenarios.addEvenClients(street, tenant, 16, FairQueueScenarios.CHEAP, load / 3, RetryPolicy.POLITE,
                                20_000 * FairQueueScenarios.MS));
                    }
                    street.runUntil(23_000);
                    all.forEach(s -> took.add(s.advisedRetryLatency));
                    told += all.stream().mapToLong(s -> s.advisedRetries).sum();
                    inTime += all.stream().mapToLong(s -> s.advisedRetriesInTime).sum();
                    share += FairQueueScenarios.utilityShare(all) / seeds;
                }
                System.out.printf(Locale.ROOT, "| %.1f | %,d | %.3f | %d | %d | %d | %.3f |%n", load, told,
                        inTime / (double) told, took.getValueAtPercentile(50) / FairQueueScenarios.MS,
                        took.getValueAtPercentile(90) / FairQueueScenarios.MS, took.getValueAtPercentile(99) / FairQueueScenarios.MS, share);
            }
            return 0;
        }
    }

    /** Jain's index over equal clients in windows of five seconds. */
    @Command(name = "even", mixinStandardHelpOptions = true,
            description = "Equal clients under twice the load; simulated time.")
    static final class Even implements Callable<Integer> {
        @Option(names = "--clients", defaultValue = "1000", description = "equal clients")
        private int clients;
        @Option(names = "--cores", defaultValue = "40", description = "of each member")
        private int cores;

        @Override public Integer call() {
            System.out.println("| before the Router | least Jain's index of RPCs served in 5 s,"
                    + " of 5 windows |\n| --- | --- |");
            for (AdmissionMode before : List.of(AdmissionMode.CLIENTS, AdmissionMode.FIRST_COME, AdmissionMode.NOTHING)) {
                GatewaySimulation street = FairQueueScenarios.simulation(FairQueueScenarios.threeTenants(), 1, before, 20_000, cores);
                List<RequestStream> all = FairQueueScenarios.addEvenClients(street, "red", clients, FairQueueScenarios.CHEAP, cores, RetryPolicy.POLITE,
                        30_000 * FairQueueScenarios.MS);
                double[] last = new double[clients];
                double[] least = {1};
                for (int at = 5; at <= 30; at += 5) {
                    boolean first = at == 5;
                    street.runAt(at * 1000, () -> {
                        double[] had = new double[clients];
                        for (int i = 0; i < clients; i++) {
                            had[i] = all.get(i).served - last[i];
                            last[i] = all.get(i).served;
                        }
                        least[0] = first ? 1 : Math.min(least[0], FairQueueScenarios.jainIndex(had));
                    });
                }
                street.runUntil(31_000);
                System.out.printf(Locale.ROOT, "| %s | %.4f |%n", before.name().toLowerCase(Locale.ROOT), least[0]);
            }
            return 0;
        }
    }

    /** The ways that were weighed. */
    @Command(name = "disciplines", mixinStandardHelpOptions = true,
            description = "Ways to order who waits, on a plain model.")
    static final class Disciplines implements Callable<Integer> {
        @Override public Integer call() {
            System.out.println("| way | clients | light ones in time | the worst hundredth of them"
                    + " | the greedy one | bytes |\n| --- | --- | --- | --- | --- | --- |");
            for (int clients : new int[] {100, 10_000, 1_000_000}) {
                QueueingDisciplines.all(7).forEach((name, way) -> System.out.println(QueueingDisciplines.tableRow(name, way, clients, 1)));
            }
            return 0;
        }
    }

    /** JMH. */
    @Command(name = "cost", mixinStandardHelpOptions = true, description = "What the door costs an RPC (JMH).")
    static final class Cost implements Callable<Integer> {
        @Option(names = "--only", defaultValue = "DoorCost", description = "a pattern of their names")
        private String only;

        @Override public Integer call() throws Exception {
            new org.openjdk.jmh.runner.Runner(new org.openjdk.jmh.runner.options.OptionsBuilder()
                    .include(only).addProfiler("gc").build()).run();
            return 0;
        }
    }
}
