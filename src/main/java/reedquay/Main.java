package reedquay;

import java.io.IOException;
import java.nio.file.Path;
import reedquay.net.Configuration;
import reedquay.net.Gateway;
import reedquay.sim.SimHost;

/** Starts the front named on the command line. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(SimHost.serve(System.in, System.out, System.err));
        }
        String config = args.length == 2 ? args[1] : System.getenv("LB_CONFIG");
        if (args.length < 1 || args.length > 2 || !args[0].equals("serve") || config == null) {
            System.err.println("usage: java -jar reedquay.jar simhost | serve [CONFIG.json, or LB_CONFIG names it]");
            System.exit(2);
        }
        try {
            Gateway gateway = new Gateway(Configuration.read(Path.of(config)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                gateway.stop().join();
                System.out.println("counters " + gateway.counters().join());
                System.out.flush();
                Runtime.getRuntime().halt(0); // a stop that was asked for is no failure
            }));
            System.out.println("listening on " + gateway.start().join());
        } catch (IOException | RuntimeException e) {
            System.err.println("reedquay: cannot start: " + e.getMessage());
            System.exit(1);
        }
    }
}
