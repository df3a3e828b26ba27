package reedquay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import reedquay.lab.flood.DepartureCommand;
import reedquay.lab.flood.FloodCommand;

/** Runs gateway processes beside clients that send without measure, stop half way, or leave. */
class FloodTest {
    private static int flood(String... options) {
        return new CommandLine(new FloodCommand())
                .execute(join(options, "--root", "..", "--seconds", "3", "--usual", "20"));
    }

    private static int departures(String... options) {
        return new CommandLine(new DepartureCommand()).execute(join(options, "--root", ".."));
    }

    private static String[] join(String[] first, String... second) {
        String[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    /** Prevents late and lost answers beside a few clients that send short messages at full speed. */
    @Test void usualClientsAreServedBesideAFewAtFullSpeed() {
        assertEquals(0, flood("--kinds", "EMPTY,SHOW_NEW_NAMES,PARSE_AND_SYNC", "--clients", "6"));
        assertEquals(0, flood("--kinds", "SYNC", "--clients", "6", "--unread", "true"));
    }

    /** Prevents the end of the heap or of direct memory beside hundreds of clients. */
    @Test void usualClientsAreServedBesideHundreds() {
        assertEquals(0, flood("--kinds", "EMPTY", "--clients", "300", "--unread", "true"));
        assertEquals(0, flood("--kinds", "LARGE_WRITES", "--clients", "400"));
        assertEquals(0, flood("--kinds", "SLOW_FIELDS", "--clients", "400"));
    }

    /** Prevents call-outs for clients that have left, whose end stands behind commands that are not read. */
    @Test void nothingIsSentOnForClientsThatHaveLeft() {
        assertEquals(0, departures("--kinds", "READ", "--commands", "500,20000", "--leave-after", "20",
                "--departures", "CLOSE,HALF_CLOSE", "--unread", "false", "--again", "false"));
    }

    /** Prevents a second run of a write whose id comes again after its client has left. */
    @Test void writesRunOnceWhenTheirIdsComeAgain() {
        assertEquals(0, departures("--kinds", "WRITE", "--commands", "20", "--leave-after", "20",
                "--departures", "CLOSE,RESET", "--unread", "false", "--again", "true"));
    }

    /** Prevents a stack trace for input that cannot be run. */
    @Test void invalidOptionsAreErrors() {
        assertEquals(2, new CommandLine(new FloodCommand()).execute("--root", "nowhere"));
        assertEquals(2, new CommandLine(new FloodCommand()).execute("--kinds", "NONE"));
        assertEquals(2, new CommandLine(new DepartureCommand()).execute("--root", "nowhere"));
    }
}
