package reedquay.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the soak test with a range of seeds and prints a row for each run, and each violation. */
@Command(name = "soak", mixinStandardHelpOptions = true,
        description = "Runs gateway processes under injected faults and signals; exit status 1 if a rule is broken,"
        + " 2 if it cannot run.")
public final class SoakCommand implements Callable<Integer> {
    @Option(names = "--first", defaultValue = "1", description = "the first seed")
    private long firstSeed;
    @Option(names = "--seeds", defaultValue = "1", description = "number of runs, with consecutive seeds")
    private int seeds;
    @Option(names = "--seconds", defaultValue = "12", description = "duration of the load in each run, 3 or more")
    private int seconds;
    @Option(names = "--parallel", defaultValue = "2", description = "how many runs at the same time")
    private int parallel;
    @Option(names = "--root", defaultValue = ".", description = "the project's root folder, built")
    private Path root;
    @Option(names = "--verbose", description = "also print each run's plan and the gateway's output")
    private boolean verbose;

    @Override public Integer call() throws InterruptedException {
        Path jar = root.resolve("target/reedquay.jar");
        if (!Files.exists(jar) || seconds < 3 || seeds < 1 || parallel < 1) {
            System.err.println(!Files.exists(jar) ? "soak: no gateway at " + jar + ": run mvn package first"
                    : "soak: --seconds must be 3 or more, --seeds and --parallel 1 or more");
            return 2;
        }
        Path library;
        try {
            library = FaultLibrary.compile(root.resolve("lab/src/main/c/faults.c"));
        } catch (IOException e) {
            System.err.println("soak: needs a C compiler named cc: " + e.getMessage());
            return 2;
        }
        return runAll(jar, library);
    }

    private int runAll(Path jar, Path library) throws InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        List<Future<SoakRun.Result>> runs = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            SoakPlan plan = SoakPlan.draw(seed, seconds);
            runs.add(executor.submit(() -> new SoakRun(plan, seconds, jar, library)
                    .run(root.resolve("example/config.json"))));
        }
        executor.shutdown();
        System.out.println("| seed | crowd | requests | answered | with a value | sent again | rig late, ms |"
                + " violations |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
        int broken = 0;
        for (Future<SoakRun.Result> run : runs) {
            try {
                print(run.get());
                broken += run.get().violations().isEmpty() ? 0 : 1;
            } catch (ExecutionException e) {
                System.out.println("a run failed: " + e.getCause());
                broken++;
            }
        }
        System.out.println(broken + " of " + seeds + " runs with violations");
        return broken == 0 ? 0 : 1;
    }

    private void print(SoakRun.Result result) {
        System.out.printf(Locale.ROOT, "| %d | %d | %d | %d | %d | %d | %d | %d |%n", result.plan().seed(),
                result.plan().crowd(), result.requests(), result.answered(), result.values(), result.resent(),
                result.riggedLateMillis(), result.violations().size());
        result.violations().forEach(violation -> System.out.println("  " + violation));
        if (verbose || !result.violations().isEmpty()) {
            result.plan().events().forEach(event -> System.out.println("  plan " + event));
            System.out.println(result.gatewayOutput().indent(2));
        }
    }
}
