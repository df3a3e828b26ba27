package reedquay;

import java.io.IOException;
import java.lang.ref.Reference;
import java.nio.file.Files;
import java.nio.file.Path;
import reedquay.cli.Commands;
import reedquay.net.Configuration;
import reedquay.net.Gateway;
import reedquay.net.WarmUp;
import reedquay.ops.SimulatorEngines;
import reedquay.ops.OperatorGateway;
import reedquay.sim.SimHost;
import sun.misc.Signal;

/**
 * Starts the front named on the command line. The platform's three lines are taken here, without loading the library
 * that the other commands are read by; without an operators' file nothing that it could turn on is loaded either.
 */
public final class Main {
    private Main() { }

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

    /** Serves the simulator's wire; ops: the operators' file, null for none. The exit status. */
    public static int simhost(String operatorFile) throws IOException {
        SimHost.RoutingEngineFactory engineFactory = null;
        if (operatorFile != null) {
            try {
                engineFactory = SimulatorEngines.factory(Path.of(operatorFile));
            } catch (IOException e) {
                System.err.println("reedquay: cannot start: " + e.getMessage());
                return 1;
            }
        }
        return engineFactory == null ? SimHost.serve(System.in, System.out, System.err)
                : SimHost.serve(engineFactory, System.in, System.out, System.err);
    }

    /** Plays RPCs of the configuration's settings within the process. The exit status. */
    public static int rehearse(String configFile) {
        try {
            System.out.println("rehearsed " + WarmUp.run(Files.readString(Path.of(configFile))).get("rpc.taken")
                    + " RPCs");
        } catch (IOException | RuntimeException e) {
            System.err.println("reedquay: the rehearsal ended early: " + e.getMessage());
        }
        return 0;
    }

    /** Starts a gateway, which goes on when this returns -1; else the exit status. */
    public static int serve(String configFile, String operatorFile) {
        if (configFile == null) {
            System.err.println("usage: java -jar reedquay.jar simhost | serve [CONFIG] | rehearse CONFIG | --help\n"
                    + "CONFIG is a JSON file; where none is given LB_CONFIG names it");
            return 2;
        }
        PersistentLogManager.install();
        try {
            // what is wrong with it is told before anything else begins
            OperatorGateway operatorGateway = operatorFile == null ? null : new OperatorGateway(Configuration.read(Path.of(configFile)), Path.of(operatorFile));
            DeferredAction reload = new DeferredAction();
            // guards against the JVM's own way with this signal, which is to end: from here on, a start takes seconds
            Signal.handle(new Signal("HUP"), signal -> reload.request());
            rehearse(configFile);
            Object trace = Boolean.getBoolean("reedquay.trace") ? PersistentLogManager.enableTrace() : null; // a logger lives while held
            Gateway gateway = operatorGateway != null ? operatorGateway.gateway() : new Gateway(Configuration.read(Path.of(configFile)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                gateway.stop().join();
                Reference.reachabilityFence(trace);
                System.out.println("counters " + gateway.counters().join());
                System.out.flush();
                Runtime.getRuntime().halt(0); // a stop that was asked for is no failure
            }));
            Runnable reloadOperatorFile = operatorGateway == null ? null : operatorGateway::reload; // no class of it is loaded where it is off
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
            Runtime.getRuntime().halt(1); // the hook has nothing to finish
            return 1;
        }
    }
}
