package reedquay.ops;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reedquay.cli.Commands;
import reedquay.net.ClientIdentifier;

/** The operators' file: what is allowed, and what is told of what is not. */
class OperatorsTest {
    @TempDir private Path dir;

    private static void unfit(String text, String... told) {
        String all = assertThrows(OperatorConfig.InvalidConfigException.class, () -> OperatorConfig.parse("f.toml", text), text).getMessage();
        for (String each : told) {
            assertTrue(all.contains(each), all);
        }
    }

    @Test void allKeysAreRead() throws OperatorConfig.InvalidConfigException {
        OperatorConfig o = OperatorConfig.parse("f", "[fair]\nenabled = true\nclient = \"parameter:application_name\"\n"
                + "memory_kb = 64\n[fair.weights]\nacme = 2\n\"a.b\" = 0.5\n");
        assertTrue(o.fair().enabled());
        assertEquals(new ClientIdentifier(ClientIdentifier.Kind.PARAMETER, "application_name"), o.fair().client());
        assertEquals(2.0, o.fair().weights().get("acme"));
        assertEquals(0.5, o.fair().weights().get("a.b"));
        assertTrue(o.fair().terms().maxWaiting() > 100 && o.fair().terms().maxWaiting() < 1000);
        assertFalse(OperatorConfig.parse("f", "").fair().enabled(), "what is left out is off");
        assertEquals(o, OperatorConfig.parse("f", String.join("\n", o.lines())), "what is printed is the file again");
    }

    @Test void whatIsWrongIsToldWithLineKeyAndWhatIsAllowed() {
        unfit("[fair]\nenabeld = true\n", "f.toml:2: fair.enabeld: expected one of client, enabled, memory_kb,");
        unfit("[queues]\n", "f.toml:1: queues: expected one of fair");
        unfit("[fair]\nenabled = 1\nmemory_kb = \"x\"\n", "f.toml:2: fair.enabled: expected true or false",
                "f.toml:3: fair.memory_kb: expected a whole number from 8 to 262144");
        unfit("[fair]\nmemory_kb = 7\n", "f.toml:2: fair.memory_kb", "not 7");
        unfit("[fair]\n\nclient = \"ip\"\n", "f.toml:3: fair.client: expected \"key\"", "not \"ip\"");
        unfit("[fair.weights]\nacme = 0\n", "f.toml:2: fair.weights.acme: expected a number from 0.001");
        unfit("[fair]\nclient = \"tenant\"\n[fair.weights]\n", "f.toml:2: fair.client");
        unfit("fair = 3\n", "f.toml:1: fair: expected a section [fair]");
        unfit("[fair\nenabled = true\n", "f.toml:1");
        unfit("[fair]\nenabled = true\nenabled = false\n", "f.toml:3");
    }

    @Test void whatNeedsARestartIsNamed() throws OperatorConfig.InvalidConfigException {
        OperatorConfig one = OperatorConfig.parse("f", "[fair]\nenabled = true\n");
        assertEquals("", one.needsRestartFor(OperatorConfig.parse("f", "[fair]\nenabled = true\n[fair.weights]\na = 3\n")));
        assertEquals("fair.enabled, fair.client, fair.memory_kb",
                one.needsRestartFor(OperatorConfig.parse("f", "[fair]\nclient = \"address\"\nmemory_kb = 9\n")));
    }

    @Test void checkPrintsWhatWouldBeInForceOrWhatIsWrong() throws IOException {
        Path good = Files.writeString(dir.resolve("good.toml"), "[fair]\nenabled = true\n");
        Path bad = Files.writeString(dir.resolve("bad.toml"), "[fair]\nenabled = 3\n");
        assertEquals("0 true", run("check", good.toString(), "enabled = true"));
        assertEquals("1 true", run("check", bad.toString(), "bad.toml:2: fair.enabled: expected true or false"));
        assertEquals("1 true", run("check", dir.resolve("none").toString(), "there is no such file"));
        assertEquals("2 true", run("chekc", "x", "Unmatched argument"));
        assertEquals("0 true", run("check", "deploy/reedquay.toml", "enabled = false"));
    }

    /** The exit status, and whether that was printed. */
    private static String run(String command, String file, String printed) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        PrintStream to = new PrintStream(all, true, StandardCharsets.UTF_8);
        System.setOut(to);
        System.setErr(to);
        try {
            int status = Commands.run(new String[] {command, file});
            return status + " " + all.toString(StandardCharsets.UTF_8).contains(printed);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }
}
