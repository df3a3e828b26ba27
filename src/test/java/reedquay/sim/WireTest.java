package reedquay.sim;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import reedquay.core.Decimal;
import reedquay.route.Router;

/** Tests the simulator's protocol: batches of input lines and the lines of their replies. */
class WireTest {
    private static final String SPAWN = "SPAWN 7 Grades.count=1 Grades.0.Name=r Grades.0.OnTime=400.0"
            + " Grades.0.GiveUp=1000.0 Grades.0.Repeat=free Domain.ClassRead=any Tick=5.0 Allowed.SendCap=4 New.Key=x";
    private final SimHost host = new SimHost(Router::new);

    /** The reply to one batch of lines at time 100.25 ms. */
    private String reply(String... lines) {
        List<String> batch = new ArrayList<>(List.of("MARK 100.25"));
        batch.addAll(List.of(lines));
        batch.add("FLUSH");
        return host.reply(batch);
    }

    /** Starts a gateway instance that knows one member, s.1 of group 4. */
    private String startInstance(String id) {
        return reply("ABOUT " + id, SPAWN, "DEFINE_LIST 0 1", "SERVER s.1 here std 4 U 0 1.5 -",
                "MEMBERSHIP remembered 1 0");
    }

    @Test void millisecondsConvertToNanosecondsExactly() {
        assertEquals(8412_250_000L, Decimal.parseScaled("8412.25", 6));
        assertEquals(-1_500_000L, Decimal.parseScaled("-1.5", 6));
        assertEquals(359_012_475_819_001L, Decimal.parseScaled("359012475.819001", 6));
        assertEquals(1_500_000L, Decimal.parseScaled("1.5E0", 6));
        assertThrows(NumberFormatException.class, () -> Decimal.parseScaled("1x", 6));
        StringBuilder out = new StringBuilder();
        LineReader.appendMillis(out, 500_250_000L);
        assertEquals("500.25", out.toString());
    }

    @Test void eachInstanceRepliesUnderItsOwnHeading() {
        assertEquals("YIELD\n", reply());
        startInstance("3");
        startInstance("5");
        String reply = reply("ABOUT 5", "JOB_IN 11 4 - - 900.5 0 - - r", "ABOUT 3", "JOB_IN 12 4 - - 900.5 0 0 0 r");
        assertTrue(reply.startsWith("AS 5\nDELIVER 11 s.1 0\n") && reply.contains("AS 3\nDELIVER 12 s.1 0\n"), reply);
        assertFalse(reply("ABOUT 5", "DONE 11 0 0 GOOD 18.5 1 s.1 -", "CLIENT_GONE 11").contains("11"));
    }

    /** A number can be defined anew within a batch; an event refers to the definition that precedes it. */
    @Test void listNumberNamesTheListDefinedLastBeforeTheEvent() {
        startInstance("3");
        reply("DEFINE_LIST 0 1", "SERVER s.2 here std 4 U 0 1 -", "ABOUT 3", "MEMBERSHIP all 2 0",
                "DEFINE_LIST 0 1", "SERVER s.3 here std 4 U 0 1 -");
        assertTrue(reply("ABOUT 3", "JOB_IN 13 4 - - 900 0 - - r").contains("DELIVER 13 s.2 0"));
    }

    @Test void killAndSpawnInOneBatchDiscardAllState() {
        startInstance("3");
        reply("ABOUT 3", "JOB_IN 14 4 - - 900 0 - - r");
        String reply = reply("ABOUT 3", "JOB_IN 15 4 - - 900 0 - - r", "KILL", SPAWN, "DEFINE_LIST 1 0",
                "MEMBERSHIP remembered 1 1", "DONE 14 0 0 GOOD 18.5 1 s.1 -", "JOB_IN 16 4 - - 900 0 - - r");
        assertFalse(reply.contains("DELIVER 15"), reply);
        assertTrue(reply.contains("PUSH_BACK 16"), reply);
    }

    @Test void unknownMethodOrGroupIsPushedBackAndLoggedOnce() {
        startInstance("3");
        String reply = reply("ABOUT 3", "JOB_IN 17 4 - - 900 0 - - x", "JOB_IN 18 9 - - 900 0 - - r");
        assertTrue(reply.contains("PUSH_BACK 17") && reply.contains("PUSH_BACK 18"), reply);
        assertEquals(reply.indexOf("EMIT"), reply.lastIndexOf("EMIT"));
        assertTrue(reply.contains("EMIT an RPC names"), reply);
    }

    @Test void malformedLineIsReportedWithWhatWasExpected() throws IOException {
        for (String malformedLine : List.of("JOB_IN x", "DONE 1 0 0 FINE 1 1 s.1 -", "NOISE", "MEMBERSHIP all 1 9",
                "ALARM")) {
            ByteArrayOutputStream err = new ByteArrayOutputStream();
            String in = "MARK 1\nABOUT 3\n" + SPAWN + "\n" + malformedLine + "\nFLUSH\n";
            assertEquals(1, SimHost.serve(new ByteArrayInputStream(in.getBytes(StandardCharsets.UTF_8)),
                    new ByteArrayOutputStream(), new PrintStream(err)));
            assertTrue(err.toString().contains("expected") && err.toString().contains(malformedLine), err.toString());
        }
        assertEquals(0, SimHost.serve(new ByteArrayInputStream(new byte[0]), System.out, System.err));
    }

    @Test void exceptionInTheEngineIsReportedAsCrash() {
        SimHost broken = new SimHost((settings, actions) -> {
            throw new IllegalStateException("engine failed");
        });
        String reply = broken.reply(List.of("MARK 1", "ABOUT 3", SPAWN, "FLUSH"));
        assertTrue(reply.startsWith("AS 3\nCRASH ") && reply.contains("engine failed"), reply);
    }
}
