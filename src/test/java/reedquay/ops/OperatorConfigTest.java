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

/** Tests which operators' files are valid and how the problems of invalid ones are reported. */
class OperatorConfigTest {
    @TempDir private Path directory;

    /** Checks that the text is rejected, with a message that contains each of the expected problems. */
    private static void assertProblems(String text, String... expectedProblems) {
        String message = assertThrows(OperatorConfig.InvalidConfigException.class,
                () -> OperatorConfig.parse("f.toml", text), text).getMessage();
        for (String expected : expectedProblems) {
            assertTrue(message.contains(expected), message);
        }
    }

    @Test void allKeysAreRead() throws OperatorConfig.InvalidConfigException {
        OperatorConfig config = OperatorConfig.parse("f", "[fair]\nenabled = true\n"
                + "client = \"parameter:application_name\"\nmemory_kb = 64\n[fair.weights]\nacme = 2\n\"a.b\" = 0.5\n");
        assertTrue(config.fairQueueing().enabled());
        assertEquals(new ClientIdentifier(ClientIdentifier.Kind.PARAMETER, "application_name"),
                config.fairQueueing().clientIdentifier());
        assertEquals(2.0, config.fairQueueing().weights().get("acme"));
        assertEquals(0.5, config.fairQueueing().weights().get("a.b"));
        assertTrue(config.fairQueueing().admissionSettings().maxWaiting() > 100
                && config.fairQueueing().admissionSettings().maxWaiting() < 1000);
        assertFalse(OperatorConfig.parse("f", "").fairQueueing().enabled(), "fair queueing is off by default");
        assertEquals(config, OperatorConfig.parse("f", String.join("\n", config.effectiveLines())),
                "the printed lines are a file with the same configuration");
    }

    @Test void problemsNameLineKeyAndAllowedValues() {
        assertProblems("[fair]\nenabeld = true\n",
                "f.toml:2: fair.enabeld: expected one of client, enabled, memory_kb,");
        assertProblems("[queues]\n", "f.toml:1: queues: expected one of fair");
        assertProblems("[fair]\nenabled = 1\nmemory_kb = \"x\"\n", "f.toml:2: fair.enabled: expected true or false",
                "f.toml:3: fair.memory_kb: expected a whole number from 8 to 262144");
        assertProblems("[fair]\nmemory_kb = 7\n", "f.toml:2: fair.memory_kb", "not 7");
        assertProblems("[fair]\n\nclient = \"ip\"\n", "f.toml:3: fair.client: expected \"key\"", "not \"ip\"");
        assertProblems("[fair.weights]\nacme = 0\n", "f.toml:2: fair.weights.acme: expected a number from 0.001");
        assertProblems("[fair]\nclient = \"tenant\"\n[fair.weights]\n", "f.toml:2: fair.client");
        assertProblems("fair = 3\n", "f.toml:1: fair: expected a section [fair]");
        assertProblems("[fair\nenabled = true\n", "f.toml:1");
        assertProblems("[fair]\nenabled = true\nenabled = false\n", "f.toml:3");
    }

    @Test void changedKeysNeedingARestartAreNamed() throws OperatorConfig.InvalidConfigException {
        OperatorConfig config = OperatorConfig.parse("f", "[fair]\nenabled = true\n");
        assertEquals("", config.changedKeysNeedingRestart(
                OperatorConfig.parse("f", "[fair]\nenabled = true\n[fair.weights]\na = 3\n")));
        assertEquals("fair.enabled, fair.client, fair.memory_kb", config.changedKeysNeedingRestart(
                OperatorConfig.parse("f", "[fair]\nclient = \"address\"\nmemory_kb = 9\n")));
    }

    @Test void checkPrintsEffectiveConfigOrProblems() throws IOException {
        Path validFile = Files.writeString(directory.resolve("good.toml"), "[fair]\nenabled = true\n");
        Path invalidFile = Files.writeString(directory.resolve("bad.toml"), "[fair]\nenabled = 3\n");
        assertEquals("0 true", run("check", validFile.toString(), "enabled = true"));
        assertEquals("1 true",
                run("check", invalidFile.toString(), "bad.toml:2: fair.enabled: expected true or false"));
        assertEquals("1 true", run("check", directory.resolve("none").toString(), "there is no such file"));
        assertEquals("2 true", run("chekc", "x", "Unmatched argument"));
        assertEquals("0 true", run("check", "deploy/reedquay.toml", "enabled = false"));
    }

    /** Runs a command; returns its exit status and whether it printed the expected text, on either stream. */
    private static String run(String command, String file, String expectedText) {
        PrintStream originalOut = System.out;
        PrintStream originalErr = System.err;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream capture = new PrintStream(output, true, StandardCharsets.UTF_8);
        System.setOut(capture);
        System.setErr(capture);
        try {
            int status = Commands.run(new String[] {command, file});
            return status + " " + output.toString(StandardCharsets.UTF_8).contains(expectedText);
        } finally {
            System.setOut(originalOut);
            System.setErr(originalErr);
        }
    }
}
