package reedquay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests the trace parser, its summary tables and the table of journal entries. */
class RpcTraceTest {
    @TempDir private Path logs;

    /**
     * The logs of two gateways span midnight. One pushes an attempt back, the other serves its retry; some lines belong
     * to no attempt.
     */
    @Test void attemptsAreSummedOverGatewayLogs() throws Exception {
        Files.write(logs.resolve("a.log"), List.of("listening on /127.0.0.1:1",
                "1.0 23:59:59.900 FINE rpc a1 taken: order, group 4, due in 500 ms",
                "1.1 23:59:59.950 FINE rpc a1 rpc.pushedback: calm; s-1 REPLICA usable strain 9 unheard; s-2 primary"
                        + " UNKNOWN cold strain 9 unheard",
                "1.1 23:59:59.960 FINE rpc ff sent to s-9", "1.1 FINE rpc zz"));
        Files.write(logs.resolve("b.log"), List.of(
                "2.0 00:00:01.000 FINE rpc b2 taken: order, group 4, a retry, due in 200 ms",
                "2.0 00:00:01.001 FINE rpc b2 sent to s-1",
                "2.1 00:00:01.040 FINE rpc b2 OK of s-1 after 39 ms", "2.1 00:00:01.040 FINE rpc b2 rpc.ok"));
        RpcTrace trace = RpcTrace.read(logs);
        assertEquals(List.of(0L, 1100L), trace.attempts.stream().map(t -> t.atMillis).toList());
        assertEquals("| order | 2 | 1 | 1 | 0 | 1 | ok 1, pushedback 1 | 1 | OK 1 (39) |",
                TraceSummary.methodTable(trace).get(3));
        assertEquals("| primary UNKNOWN cold | 1.000 |", TraceSummary.pushbackTable(trace, "order").get(3));
        assertEquals("| s-1 | 1 / 1 |", TraceSummary.memberTable(trace, 4).get(3));
        assertEquals(4, RpcTrace.linesOf(logs, "b2").size());
    }

    @Test void missingOrEmptyLogsAreReportedWithARemedy() throws Exception {
        StringWriter errors = new StringWriter();
        CommandLine command = new CommandLine(new TraceSummary()).setErr(new PrintWriter(errors));
        assertEquals(2, command.execute(logs.resolve("none").toString()));
        assertTrue(errors.toString().contains("does not exist; name the folder"), errors.toString());
        assertEquals(1, command.execute(logs.toString()), "the directory has no trace lines");
        assertEquals(1, command.execute(logs.toString(), "--rpc", "a1"));
    }

    @Test void journalEntriesBecomeTableRows() throws Exception {
        String entry = """
                {"id":"ab","policy":[{"sha256":"0123456789"}],"days":[{"name":"calm"},
                {"name":"roll","seed":4,"nodes":90,"servers":60,"served":0.5,"served_least":0.4,
                "rules":{"lost":2,"own":0},"by_class":[["a",0.5,0.25],["b",0.3,0.4]]}]}""";
        Files.writeString(logs.resolve("one.json"), entry);
        assertEquals(List.of("| ab | 01234567 | roll 4 | 90, 60 | 0.500 (0.400) | a 0.500 / 0.250; b 0.300 / 0.400"
                + " | 0.75 | lost 2 |"), JournalTable.rows(JsonParser.parseString(entry).getAsJsonObject(), null));
        Files.writeString(logs.resolve("two.json"), "[");
        assertEquals(1, new CommandLine(new JournalTable()).execute(logs.toString()),
                "an unreadable entry is reported and the others are printed");
        assertEquals(2, new CommandLine(new JournalTable()).setErr(new PrintWriter(new StringWriter()))
                .execute(logs.resolve("none").toString()));
    }
}
