package reedquay.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import reedquay.Main;
import reedquay.ops.OperatorConfig;

/** The command line. The platform's own lines never come here: Main serves them without loading this. */
@Command(name = "reedquay", mixinStandardHelpOptions = true, version = "reedquay 0.1.0",
        description = "A proxy before a primary and its replicas.",
        subcommands = {Commands.Serve.class, Commands.Rehearse.class, Commands.Simhost.class, Commands.Check.class})
public final class Commands {
    private Commands() { }

    /** The exit status: 0, 1 where it failed, 2 where the command line is unfit. */
    public static int run(String[] args) {
        return new CommandLine(new Commands()).execute(args);
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, description = "Starts a gateway, until SIGTERM.")
    static final class Serve implements Callable<Integer> {
        @Parameters(arity = "0..1", paramLabel = "CONFIG", description = "JSON; where absent LB_CONFIG names it")
        private String configFile;
        @Option(names = "--ops", paramLabel = "FILE",
                description = "the operators' file, TOML; where absent REEDQUAY_OPS names it, if set")
        private String operatorFile;

        @Override public Integer call() throws IOException {
            return Main.serve(configFile != null ? configFile : System.getenv("LB_CONFIG"),
                    operatorFile != null ? operatorFile : System.getenv("REEDQUAY_OPS"));
        }
    }

    @Command(name = "rehearse", mixinStandardHelpOptions = true,
            description = "Plays RPCs of a configuration's settings within the process.")
    static final class Rehearse implements Callable<Integer> {
        @Parameters(paramLabel = "CONFIG", description = "JSON")
        private String configFile;

        @Override public Integer call() {
            return Main.rehearse(configFile);
        }
    }

    @Command(name = "simhost", mixinStandardHelpOptions = true,
            description = "Serves the simulator's wire on standard input and output.")
    static final class Simhost implements Callable<Integer> {
        @Option(names = "--ops", paramLabel = "FILE",
                description = "the operators' file, TOML; where absent REEDQUAY_OPS names it, if set")
        private String operatorFile;

        @Override public Integer call() throws IOException {
            return Main.simhost(operatorFile != null ? operatorFile : System.getenv("REEDQUAY_OPS"));
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Checks an operators' file and prints what would be in force.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "TOML")
        private Path operatorFile;

        @Override public Integer call() {
            try {
                OperatorConfig.read(operatorFile).effectiveLines().forEach(System.out::println);
                return 0;
            } catch (OperatorConfig.InvalidConfigException e) {
                System.err.println(e.getMessage());
            } catch (IOException e) {
                System.err.println(operatorFile + ": " + (Files.exists(operatorFile) ? "cannot be read" : "there is no such file"));
            }
            return 1;
        }
    }
}
