package reedquay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import reedquay.net.Configuration;
import reedquay.net.Gateway;
import reedquay.net.Rehearsal;
import reedquay.sim.SimHost;
import sun.misc.Signal;

/** Starts the front named on the command line. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        String front = args.length == 0 ? "" : args[0];
        String config = args.length == 2 ? args[1] : System.getenv("LB_CONFIG");
        if (front.equals("simhost")) {
            System.exit(SimHost.serve(System.in, System.out, System.err));
        }
        if (args.length > 2 || config == null || !front.equals("serve") && !front.equals("rehearse")) {
            System.err.println("usage: java -jar reedquay.jar simhost | serve [CONFIG] | rehearse CONFIG\n"
                    + "CONFIG is a JSON file; where none is given LB_CONFIG names it");
            System.exit(2);
        }
        try {
            try {
                System.out.println("rehearsed " + Rehearsal.run(Files.readString(Path.of(config))).get("rpc.taken")
                        + " RPCs");
            } catch (IOException | RuntimeException e) {
                System.err.println("reedquay: the rehearsal ended early: " + e.getMessage());
            }
            if (front.equals("rehearse")) {
                return;
            }
            Gateway gateway = new Gateway(Configuration.read(Path.of(config)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                gateway.stop().join();
                System.out.println("counters " + gateway.counters().join());
                System.out.flush();
                Runtime.getRuntime().halt(0); // a stop that was asked for is no failure
            }));
            // guards against the JVM's own way with this signal, which is to end
            Signal.handle(new Signal("HUP"), signal -> gateway.reload(Path.of(config)));
            System.out.println("listening on " + gateway.start().join());
        } catch (IOException | RuntimeException e) {
            System.err.println("reedquay: cannot start: " + e.getMessage());
            Runtime.getRuntime().halt(1); // the hook has nothing to finish
        }
    }
}
