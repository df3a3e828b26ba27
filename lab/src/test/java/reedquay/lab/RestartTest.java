package reedquay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import reedquay.lab.restart.RestartCommand;

/** Runs gateway processes that are held up, and that end connections beside clients that keep sending. */
class RestartTest {
    private static int restarts(String... options) {
        String[] all = java.util.Arrays.copyOf(options, options.length + 2);
        all[options.length] = "--root";
        all[options.length + 1] = "..";
        return new CommandLine(new RestartCommand()).execute(all);
    }

    /** Prevents ends of connections, for room and at a drain, over requests that stood in the gateway's sockets. */
    @Test void noConnectionEndsOverARequestWhileTheGatewayIsHeldUp() {
        assertEquals(0, restarts("--kinds", "READ", "--commands", "1", "--clients", "60", "--sockets", "180"));
    }

    /** Prevents the same for writes, several at once, at a drain alone. */
    @Test void noConnectionEndsOverABatchAtADrain() {
        assertEquals(0, restarts("--kinds", "WRITE", "--commands", "4", "--clients", "40", "--sockets", "1024"));
    }

    /** Prevents a stack trace for input that cannot be run. */
    @Test void invalidOptionsAreErrors() {
        assertEquals(2, new CommandLine(new RestartCommand()).execute("--root", "nowhere"));
        assertEquals(2, restarts("--clients", "0"));
        assertEquals(2, restarts("--millis", "-1"));
    }
}
