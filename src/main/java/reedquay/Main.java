package reedquay;

import java.io.IOException;
import reedquay.sim.SimHost;

/** Starts the front named on the command line. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar reedquay.jar simhost");
            System.exit(2);
        }
        System.exit(SimHost.serve(System.in, System.out, System.err));
    }
}
