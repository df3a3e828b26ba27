package reedquay;

import java.io.IOException;
import java.lang.ref.Reference;
import java.nio.file.Files;
import java.nio.file.Path;
import reedquay.cli.Commands;
import reedquay.net.Configuration;
import reedquay.net.Gateway;
import reedquay.net.WarmUp;
import reedquay.ops.OperatorGateway;
import reedquay.ops.RoutingEngineFactories;
import reedquay.sim.SimHost;
import sun.misc.Signal;

/**
 * Starts the front named on the command line. The three command lines that the platform uses (simhost, serve and
 * rehearse without options) are parsed here, without loading the command-line library that parses all others. Without
 * an operators' file, none of the classes that it can enable are loaded either.
 */
public final class Main {
    private static final int EXIT_FAILED = 3; // the gateway has started and ended without a request

    private Main() { }

    /** Runs the command and exits with its status; a gateway that has started keeps the process running. */
    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        boolean withoutOptions = args.length < 2 || args.length == 2 && !args[1].startsWith("-");
        String operatorFile = System.getenv("REEDQUAY_OPS");
        int status;
        if (withoutOptions && command.equals("simhost") && args.length == 1) {
            status = simhost(operatorFile);
        } else if (withoutOptions && command.equals("serve")) {
            status = serve(args.length == 2 ? args[1] : System.getenv("LB_CONFIG"), operatorFile);
        } else if (command.equals("rehearse") && args.length == 2 && withoutOptions) {
            status = rehearse(args[1]);
        } else {
            status = Commands.run(args);
        }
        if (status >= 0) {
            System.exit(status);
        }
    }

    /**
     * Serves the simulator's protocol on standard input and output, and returns the exit status. operatorFile: the
     * path of the operators' file, null for none.
     */
    public static int simhost(String operatorFile) throws IOException {
        SimHost.RoutingEngineFactory engineFactory = null;
        if (operatorFile != null) {
            try {
                engineFactory = RoutingEngineFactories.fromOperatorFile(Path.of(operatorFile));
            } catch (IOException e) {
                System.err.println("reedquay: cannot start: " + e.getMessage());
                return 1;
            }
        }
        return engineFactory == null ? SimHost.serve(System.in, System.out, System.err)
                : SimHost.serve(engineFactory, System.in, System.out, System.err);
    }

    /**
     * Sends warm-up RPCs of the configuration's methods to members within the process. Returns the exit status, which
     * is 0 also if the warm-up ends early.
     */
    public static int rehearse(String configFile) {
        try {
            System.out.println("rehearsed " + WarmUp.run(Files.readString(Path.of(configFile))).get("rpc.taken")
                    + " RPCs");
        } catch (IOException | RuntimeException e) {
            System.err.println("reedquay: the rehearsal ended early: " + e.getMessage());
        }
        return 0;
    }

    /** Starts a gateway; operatorFile is null for none. Returns -1 if the gateway is running, else the exit status. */
    public static int serve(String configFile, String operatorFile) {
        if (configFile == null) {
            System.err.println("usage: java -jar reedquay.jar simhost | serve [CONFIG] | rehearse CONFIG | --help\n"
                    + "CONFIG is a JSON file; default: the file that LB_CONFIG names");
            return 2;
        }
        PersistentLogManager.install();
        PersistentLogManager.installSafeHandlers();
        try {
            // validates the operators' file before anything else starts
            OperatorGateway operatorGateway = operatorFile == null ? null
                    : new OperatorGateway(Configuration.read(Path.of(configFile)), Path.of(operatorFile));
            DeferredAction reload = new DeferredAction();
            // prevents the JVM's default action for SIGHUP, to exit, during the rest of the start, which takes seconds
            Signal.handle(new Signal("HUP"), signal -> reload.request());
            rehearse(configFile);
            // a strong reference keeps the logger's settings, since the log manager has only weak references to loggers
            Object traceLogger = Boolean.getBoolean("reedquay.trace") ? PersistentLogManager.enableTrace() : null;
            Gateway gateway = operatorGateway != null ? operatorGateway.gateway()
                    : new Gateway(Configuration.read(Path.of(configFile)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                boolean hasFailed = gateway.hasFailed();
                gateway.stop().join();
                Reference.reachabilityFence(traceLogger);
                System.out.println("counters " + gateway.counters().join());
                System.out.flush();
                if (hasFailed) {
                    System.err.println("reedquay: the event loop ended by a failure");
                }
                Runtime.getRuntime().halt(hasFailed ? EXIT_FAILED : 0); // a requested shutdown is reported as success
            }));
            // null without an operators' file, so that the reload handler then loads none of its classes
            Runnable reloadOperatorFile = operatorGateway == null ? null : operatorGateway::reload;
            System.out.println("listening on " + gateway.start().join());
            reload.enable(() -> {
                gateway.reload(Path.of(configFile));
                if (reloadOperatorFile != null) {
                    reloadOperatorFile.run();
                }
            });
            return -1;
        } catch (IOException | RuntimeException e) {
            System.err.println("reedquay: cannot start: " + e.getMessage());
            Runtime.getRuntime().halt(1); // skips the shutdown hook, which has nothing to finish
            return 1;
        }
    }
}
