package reedquay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import reedquay.lab.soak.SoakCommand;

/** Runs the soak test for a short time with fixed seeds, two thirds without and one third with a crowd. */
class SoakTest {
    /** Prevents lost RPCs, repeated effects and hung shutdowns under faults that no single test combines. */
    @Test void gatewayProcessesBreakNoRuleUnderFaults() {
        assertEquals(0, new CommandLine(new SoakCommand()).execute("--root", "..", "--first", "1", "--seeds", "8",
                "--seconds", "8", "--parallel", "3"));
    }

    /** Prevents a stack trace for input that cannot be run. */
    @Test void invalidOptionsAreErrors() {
        assertEquals(2, new CommandLine(new SoakCommand()).execute("--root", "nowhere"));
        assertEquals(2, new CommandLine(new SoakCommand()).execute("--seeds", "none"));
    }
}
