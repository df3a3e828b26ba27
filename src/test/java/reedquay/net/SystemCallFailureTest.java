package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import io.netty.buffer.Unpooled;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.pg.Messages;

/**
 * Tests a gateway in a process of its own while its system calls fail: its limit on open files is lowered at run time
 * (prlimit, on the test's own child process), so that socket() and accept() return EMFILE.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SystemCallFailureTest {
    private static final int NORMAL_LIMIT = 1024;

    private final StandIn standIn = new StandIn(0, 200, "one", "two", "three");
    private Process process;
    private BufferedReader output;
    private InetSocketAddress address;
    private int nextId = 0x1000;

    @BeforeEach void start() throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
        Path file = Files.createTempFile("reedquay", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, config.toString());
        // the format of deploy/balancer.toml; its first use reads the JDK's time zone file
        process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Djava.util.logging.SimpleFormatter.format=%1$tT.%1$tL %4$s %5$s%n", "-cp",
                System.getProperty("java.class.path"), "reedquay.Main", "serve", file.toString())
                .redirectErrorStream(true).start();
        output = process.inputReader();
        String line = output.readLine();
        while (!line.startsWith("listening on ")) {
            line = output.readLine();
        }
        address = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.replaceAll(".*:", "")));
    }

    @AfterEach void stop() {
        process.destroyForcibly();
        standIn.close();
    }

    private void setOpenFilesLimit(long limit) throws IOException, InterruptedException {
        Process prlimit = new ProcessBuilder("prlimit", "--pid", "" + process.pid(), "--nofile=" + limit + ":")
                .inheritIO().start();
        assertEquals(0, prlimit.waitFor());
    }

    /** Sets the limit to the lowest unused number, the one that the next descriptor would get. */
    private void allowNoNewDescriptor() throws IOException, InterruptedException {
        long limit = 0;
        while (Files.exists(Path.of("/proc/" + process.pid() + "/fd/" + limit), LinkOption.NOFOLLOW_LINKS)) {
            limit++;
        }
        setOpenFilesLimit(limit);
    }

    private String read(BlockingClient client) throws IOException {
        return client.ask("/* id=" + Integer.toHexString(nextId++)
                + ",c=history,t=acme,d=1200,cluster=1 */ SELECT data FROM facts WHERE code = 'k'");
    }

    private void assertStopsInOrder() throws InterruptedException {
        process.destroy();
        assertTrue(process.waitFor(3_700, TimeUnit.MILLISECONDS), "the shutdown ends before the platform's kill");
        assertEquals(0, process.exitValue());
    }

    /**
     * Prevents the end of all timeouts, which happens when socket() fails for a connection to a member: the RPC is
     * answered, others are served once descriptors are free, silent clients are still closed, and the gateway stops.
     */
    @Test void failedSocketCallEndsNoTimeouts() throws Exception {
        try (BlockingClient client = new BlockingClient(address).startup();
                BlockingClient silent = new BlockingClient(address)) {
            assertEquals("I Z", client.ask(""));
            assertEquals("T D: C Z", read(client));
            Thread.sleep(100); // the accepts are over
            for (String name : new String[] {"one", "two", "three"}) {
                standIn.server(name).closeConnections();
            }
            Thread.sleep(100); // their descriptors are free
            allowNoNewDescriptor();
            for (int i = 0; i < 5; i++) {
                String answer = read(client);
                assertTrue(answer.startsWith("E:53300") || answer.startsWith("T D:"), answer);
            }
            setOpenFilesLimit(NORMAL_LIMIT);
            String answer = read(client);
            for (int i = 0; i < 50 && !answer.equals("T D: C Z"); i++) {
                Thread.sleep(20);
                answer = read(client);
            }
            assertEquals("T D: C Z", answer);
            silent.socket.setSoTimeout(4_000);
            assertEquals("closed", silent.readAnswer());
            assertStopsInOrder();
        }
    }

    /** Prevents a pause of a second, longer than many deadlines, after an accept() that failed. */
    @Test void acceptingResumesSoonAfterAFailedAccept() throws Exception {
        try (BlockingClient client = new BlockingClient(address).startup()) {
            assertEquals("I Z", client.ask(""));
            assertEquals("T D: C Z", read(client));
            allowNoNewDescriptor();
            try (BlockingClient waiting = new BlockingClient(address)) {
                for (int i = 0; i < 3; i++) {
                    Thread.sleep(100);
                    assertEquals("T D: C Z", read(client));
                }
                setOpenFilesLimit(NORMAL_LIMIT);
                long liftedAt = System.nanoTime();
                waiting.startup();
                assertEquals("T D: C Z", read(waiting));
                assertTrue(System.nanoTime() - liftedAt < TimeUnit.MILLISECONDS.toNanos(400),
                        "accepting resumes before the soft deadline of a read");
            }
            assertStopsInOrder();
        }
    }

    /** Prevents call-outs for a client that left while its connection waited for an accept() that failed. */
    @Test void clientThatLeftBeforeItsAcceptGetsNoCallOut() throws Exception {
        try (BlockingClient client = new BlockingClient(address).startup()) {
            assertEquals("I Z", client.ask(""));
            assertEquals("T D: C Z", read(client));
            allowNoNewDescriptor();
            try (BlockingClient leaving = new BlockingClient(address)) {
                leaving.send(Messages.query(Messages.startupMessage(Unpooled.buffer(), "portal", "crm"),
                        "/* id=1eaf,c=history,t=acme,d=1200,cluster=1 */ SELECT data FROM facts WHERE code = 'k'"));
            }
            Thread.sleep(300);
            setOpenFilesLimit(NORMAL_LIMIT);
            Thread.sleep(300);
            assertEquals("T D: C Z", read(client));
            for (String name : new String[] {"one", "two", "three"}) {
                assertTrue(standIn.server(name).statements.stream().noneMatch(text -> text.contains("id=1eaf")));
            }
            assertStopsInOrder();
        }
    }

    /**
     * Prevents the loss of all log lines, or the end of the event loop, which happens when the first line is logged
     * while no descriptor is left to open a file that its format needs.
     */
    @Test void firstLogLineNeedsNoDescriptor() throws Exception {
        try (BlockingClient client = new BlockingClient(address).startup()) {
            assertEquals("I Z", client.ask(""));
            allowNoNewDescriptor();
            client.send(Unpooled.buffer().writeByte('?').writeInt(77));
            assertEquals("E:08P01 closed", client.readAnswer());
            setOpenFilesLimit(NORMAL_LIMIT);
            String line = output.readLine();
            assertTrue(line.contains("WARNING a client violated the protocol"), line);
            assertStopsInOrder();
        }
    }
}
