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

/**
 * The command-line parser. Main handles the three command lines that the platform uses (simhost, serve and rehearse
 * without options) itself, without loading this class and its library.
 */
@Command(name = "reedquay", mixinStandardHelpOptions = true, version = "reedquay 0.1.0",
        description = "A proxy in front of a database primary and its replicas.",
        subcommands = {Commands.Serve.class, Commands.Rehearse.class, Commands.Simhost.class, Commands.Check.class})
public final class Commands {
    private Commands() { }

    /** Runs a command line. Returns the exit status: 0 for success, 1 for a failure, 2 for an invalid command line. */
    public static int run(String[] args) {
        return new CommandLine(new Commands()).execute(args);
    }

    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Starts a gateway, which runs until SIGTERM.")
    static final class Serve implements Callable<Integer> {
        @Parameters(arity = "0..1", paramLabel = "CONFIG",
                description = "the configuration, a JSON file; default: the file that LB_CONFIG names")
        private String configFile;
        @Option(names = "--ops", paramLabel = "FILE",
                description = "the operators' file, TOML; default: the file that REEDQUAY_OPS names, if set")
        private String operatorFile;

        @Override public Integer call() throws IOException {
            return Main.serve(configFile != null ? configFile : System.getenv("LB_CONFIG"),
                    operatorFile != null ? operatorFile : System.getenv("REEDQUAY_OPS"));
        }
    }

    @Command(name = "rehearse", mixinStandardHelpOptions = true,
            description = "Sends warm-up RPCs of a configuration's methods to members within the process.")
    static final class Rehearse implements Callable<Integer> {
        @Parameters(paramLabel = "CONFIG", description = "the configuration, a JSON file")
        private String configFile;

        @Override public Integer call() {
            return Main.rehearse(configFile);
        }
    }

    @Command(name = "simhost", mixinStandardHelpOptions = true,
            description = "Serves the simulator's protocol on standard input and output.")
    static final class Simhost implements Callable<Integer> {
        @Option(names = "--ops", paramLabel = "FILE",
                description = "the operators' file, TOML; default: the file that REEDQUAY_OPS names, if set")
        private String operatorFile;

        @Override public Integer call() throws IOException {
            return Main.simhost(operatorFile != null ? operatorFile : System.getenv("REEDQUAY_OPS"));
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Validates an operators' file and prints the effective configuration.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the operators' file, TOML")
        private Path operatorFile;

        @Override public Integer call() {
            try {
                OperatorConfig.read(operatorFile).effectiveLines().forEach(System.out::println);
                return 0;
            } catch (OperatorConfig.InvalidConfigException e) {
                System.err.println(e.getMessage());
            } catch (IOException e) {
                System.err.println(operatorFile + ": "
                        + (Files.exists(operatorFile) ? "cannot be read" : "there is no such file"));
            }
            return 1;
        }
    }
}
