package reedquay.ops;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import reedquay.net.Configuration;
import reedquay.net.Gateway;

/** Tests admission control end to end on loopback: operators' file, gateway, and members that take time and queue. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FairGatewayTest {
    private static final int GREEDY_CONNECTIONS = 40;
    private static final int OTHER_CLIENTS = 8;

    @TempDir private Path dir;
    private final StandIn standIn = new StandIn(0, 200, "one", "two", "three");
    private final AtomicLong ids = new AtomicLong(0x1000);
    private OperatorGateway operatorGateway;
    private Gateway gateway;
    private InetSocketAddress address;
    private volatile boolean sendingLoad = true;

    @AfterEach void stop() {
        sendingLoad = false;
        if (gateway != null) {
            gateway.stop().join();
        }
        standIn.close();
    }

    private static JsonObject configuration() throws IOException {
        return JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
    }

    private Path writeOperatorsFile(String text) throws IOException {
        return Files.writeString(dir.resolve("ops.toml"), text);
    }

    private void startGateway(String text) throws IOException {
        JsonObject config = configuration();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
        operatorGateway = new OperatorGateway(Configuration.parse(config.toString()), writeOperatorsFile(text));
        gateway = operatorGateway.gateway();
        address = gateway.start().join();
        for (String name : List.of("two", "three")) {
            standIn.server(name).workMicros = 5_000;
        }
    }

    private Connection connect(String application) throws SQLException {
        return DriverManager.getConnection("jdbc:postgresql://127.0.0.1:" + address.getPort()
                + "/crm?preferQueryMode=simple&sslmode=disable&user=portal&ApplicationName=" + application);
    }

    private String selectStatement(String key) {
        return "/* id=" + Long.toHexString(ids.getAndIncrement()) + ",c=history,t=acme,d=1200,cluster=1 */ "
                + "SELECT data FROM facts WHERE code = '" + key + "'";
    }

    /** Starts a client that sends requests one after the other, without a pause if it is greedy. */
    private Thread startClient(String key, boolean greedy, AtomicLong requests, AtomicLong inTime) {
        Thread thread = new Thread(() -> {
            try (Connection connection = connect(key); Statement statement = connection.createStatement()) {
                while (sendingLoad) {
                    long startedAt = System.nanoTime();
                    requests.incrementAndGet();
                    try (ResultSet rows = statement.executeQuery(selectStatement(key))) {
                        assertTrue(rows.next());
                        inTime.addAndGet(System.nanoTime() - startedAt < 500_000_000 ? 1 : 0);
                    } catch (SQLException e) {
                        assertEquals("53300", e.getSQLState());
                    }
                    if (!greedy) {
                        TimeUnit.MILLISECONDS.sleep(50);
                    }
                }
            } catch (SQLException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.start();
        return thread;
    }

    /** Returns the share of the other clients' requests that is answered in time beside one greedy client. */
    private double othersServedInTime(String client) throws Exception {
        startGateway("[fair]\nenabled = true\nclient = \"" + client + "\"\n");
        AtomicLong[] counts = {new AtomicLong(), new AtomicLong(), new AtomicLong(), new AtomicLong()};
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < GREEDY_CONNECTIONS; i++) {
            threads.add(startClient("greedy", true, counts[0], counts[1]));
        }
        for (int i = 0; i < OTHER_CLIENTS; i++) {
            threads.add(startClient("other" + i, false, counts[2], counts[3]));
        }
        awaitCount(counts[0], 800); // by then members have reported to be full and the concurrency limit has adapted
        long[] before = {counts[2].get(), counts[3].get()};
        awaitCount(counts[2], before[0] + 40L * OTHER_CLIENTS);
        try (Connection connection = connect("look"); Statement statement = connection.createStatement()) {
            List<String> clients = showRows(statement, "clients");
            assertTrue(clients.get(0).startsWith("acme greedy "), clients.toString());
            assertEquals(2, showRows(statement, "ways").size(),
                    "a row for reads and one for writes, overloaded or not");
            assertTrue(showRows(statement, "tenants").get(0).startsWith("acme 1.0 "),
                    showRows(statement, "tenants").toString());
        }
        sendingLoad = false;
        for (Thread thread : threads) {
            thread.join();
        }
        assertTrue(counts[1].get() > 100, "the greedy client gets the capacity that others leave");
        return (counts[3].get() - before[1]) / (double) (counts[2].get() - before[0]);
    }

    private static void awaitCount(AtomicLong count, long target) {
        while (count.get() < target) {
            Thread.onSpinWait();
        }
    }

    private static List<String> showRows(Statement statement, String name) throws SQLException {
        List<String> rows = new ArrayList<>();
        try (ResultSet results = statement.executeQuery("SHOW " + name)) {
            while (results.next()) {
                StringBuilder row = new StringBuilder();
                for (int i = 1; i <= results.getMetaData().getColumnCount(); i++) {
                    row.append(i > 1 ? " " : "").append(results.getString(i));
                }
                rows.add(row.toString());
            }
        }
        return rows;
    }

    /** The share is 0.86 on a busy machine, and 0.2 without admission control (command "lab load"). */
    @Test void clientOnFortyConnectionsDoesNotStarveOthersIdentifiedByKey() throws Exception {
        double servedInTime = othersServedInTime("key");
        assertTrue(servedInTime >= 0.6, "share served in time: " + servedInTime);
    }

    @Test void clientOnFortyConnectionsDoesNotStarveOthersIdentifiedByParameter() throws Exception {
        double servedInTime = othersServedInTime("parameter:application_name");
        assertTrue(servedInTime >= 0.6, "share served in time: " + servedInTime);
    }

    /** A reload applies weights at once; settings that need a restart and an invalid file change nothing. */
    @Test void reloadAppliesWeightsWithoutRestart() throws Exception {
        startGateway("[fair]\nenabled = true\n");
        try (Connection connection = connect("look"); Statement statement = connection.createStatement()) {
            assertEquals("1.0", showRows(statement, "tenants").get(0).split(" ")[1]);
            writeOperatorsFile("[fair]\nenabled = true\nmemory_kb = 99\n[fair.weights]\nacme = 500\n");
            assertTrue(operatorGateway.reload().join());
            assertEquals("5.0", showRows(statement, "tenants").get(0).split(" ")[1],
                    "relative to the other tenants' weight of 100");
            writeOperatorsFile("[fair]\nenabled = maybe\n");
            assertFalse(operatorGateway.reload().join());
            assertEquals("5.0", showRows(statement, "tenants").get(0).split(" ")[1]);
        }
    }

    @Test void invalidFilePreventsStartBeforeAnythingListens() throws Exception {
        assertThrows(OperatorConfig.InvalidConfigException.class, () -> startGateway("[fair]\nenabled = 7\n"));
        JsonObject config = configuration();
        Path file = Files.writeString(dir.resolve("config.json"), config.toString());
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "reedquay.Main", "serve", file.toString(), "--ops",
                writeOperatorsFile("[fair]\nenabled = 7\n").toString()).redirectErrorStream(true).start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor(), out);
        assertTrue(out.contains("ops.toml:2: fair.enabled: expected true or false"), out);
        assertFalse(out.contains("listening"), out);
    }

    /** Without an operators' file neither the classes of optional features nor their libraries are loaded. */
    @Test void disabledFeaturesLoadNoClasses() throws Exception {
        JsonObject config = configuration();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
        Path file = Files.writeString(dir.resolve("config.json"), config.toString());
        Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xshare:off", "-verbose:class", "-cp", System.getProperty("java.class.path"), "reedquay.Main", "serve",
                file.toString()).redirectErrorStream(true).start();
        List<String> loaded = new ArrayList<>();
        try (BufferedReader in = new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null && !line.startsWith("listening"); line = in.readLine()) {
                loaded.add(line);
            }
            process.toHandle().destroy();
            while (in.readLine() != null) { }
        }
        assertTrue(loaded.stream().anyMatch(l -> l.contains(" reedquay.net.Gateway ")), "the gateway did not start");
        for (String name : List.of("reedquay.fair.", "reedquay.ops.", "reedquay.cli.", "picocli.", "org.tomlj.",
                "org.antlr.", "com.dynatrace.")) {
            assertEquals(List.of(), loaded.stream().filter(l -> l.contains(" " + name)).toList());
        }
    }
}
