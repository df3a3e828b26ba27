package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import java.net.InetSocketAddress;
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
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Moves discovery to another agent under load, where the second agent is behind the first. The members are stand-ins
 * that record the statements that reach them.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DiscoveryClientTest {
    private static final int CLIENTS = 4;

    private final StandIn members = new StandIn(0, 200, "one", "two", "three");
    private final ScriptedAgent firstAgent = new ScriptedAgent();
    private final ScriptedAgent secondAgent = new ScriptedAgent();
    private final AtomicLong nextId = new AtomicLong(0x1000);
    private final AtomicLong servedCount = new AtomicLong();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean sendingLoad = true;
    private JsonObject config;
    private Gateway gateway;
    private InetSocketAddress address;

    @BeforeEach void start() throws Exception {
        config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", firstAgent.address());
        gateway = new Gateway(Configuration.parse(config.toString()));
        address = gateway.start().join();
        firstAgent.awaitWatch().sendBytewise(list(5, true, "one ready", "two ready", "three ready"));
        for (int i = 0; i < CLIENTS; i++) {
            Thread client = new Thread(this::sendReads, "client " + i);
            clients.add(client);
            client.start();
        }
        await(() -> members.server("two").statements.size() > 20 && members.server("three").statements.size() > 20);
    }

    @AfterEach void stop() throws Exception {
        sendingLoad = false;
        for (Thread client : clients) {
            client.join();
        }
        gateway.stop().join();
        firstAgent.close();
        secondAgent.close();
        members.close();
    }

    /** Sends reads one after the other on one connection for as long as the load is on. */
    private void sendReads() {
        try (Connection connection = DriverManager.getConnection("jdbc:postgresql://" + address.getHostString() + ":"
                + address.getPort() + "/crm?preferQueryMode=simple&sslmode=disable&user=portal");
                Statement statement = connection.createStatement()) {
            while (sendingLoad) {
                try (ResultSet rows = statement.executeQuery("/* id=" + Long.toHexString(nextId.getAndIncrement())
                        + ",c=history,t=acme,d=1000,cluster=1 */ SELECT data FROM facts WHERE code = 'k'")) {
                    servedCount.incrementAndGet();
                } catch (SQLException e) {
                    assertEquals("53300", e.getSQLState());
                }
            }
        } catch (SQLException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits up to fifteen seconds for the condition. */
    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition was not met within 15 seconds");
            Thread.onSpinWait();
        }
    }

    /** A list in the discovery service's JSON form; each entry is "name lifecycle". */
    private String list(long generation, boolean full, String... entries) {
        JsonArray instances = new JsonArray();
        for (String entry : entries) {
            String[] words = entry.split(" ");
            JsonObject instance = new JsonObject();
            instance.addProperty("instanceId", words[0]);
            instance.addProperty("hostPort", "127.0.0.1:" + members.server(words[0]).port());
            instance.addProperty("cell", 1);
            instance.addProperty("lifecycle", words[1]);
            instance.addProperty("startedAtMs", 1000);
            instance.addProperty("role", words[0].equals("one") ? "leader" : "follower");
            instances.add(instance);
        }
        JsonObject list = new JsonObject();
        list.addProperty("generation", generation);
        list.addProperty("reset", full);
        list.add("instances", instances);
        return list.toString();
    }

    private long counter(String name) {
        return gateway.counters().join().getOrDefault(name, 0L);
    }

    private void moveToSecondAgent() throws Exception {
        config.addProperty("discovery", secondAgent.address());
        assertTrue(gateway.reload(Configuration.parse(config.toString())).join());
        secondAgent.awaitWatch();
    }

    /** A draining member may still get statements that are on their way, but none after the next 50 RPCs. */
    private void assertDrained(String member) {
        long servedBefore = servedCount.get();
        await(() -> servedCount.get() > servedBefore + 50);
        int statementsBefore = members.server(member).statements.size();
        await(() -> servedCount.get() > servedBefore + 400);
        assertEquals(statementsBefore, members.server(member).statements.size(),
                member + " is draining and gets no new statements");
    }

    /**
     * Prevents a drain from being missed after a move: the new agent has sent a heartbeat and an older list while the
     * drain is still on its way from the old agent.
     */
    @Test void drainFromTheOldAgentIsAppliedAfterTheNewAgentsFirstLine() throws Exception {
        moveToSecondAgent();
        secondAgent.sendBytewise("");
        secondAgent.sendBytewise(list(4, false));
        firstAgent.sendBytewise(list(6, false, "two draining"));
        assertDrained("two");
    }

    /**
     * Prevents a drain from being undone after a move: the old agent has reported it, and the new one, which is behind,
     * answers with a full list of an older generation.
     */
    @Test void fullListOfAnOlderGenerationDoesNotUndoADrain() throws Exception {
        firstAgent.sendBytewise(list(6, false, "two draining"));
        assertDrained("two");
        moveToSecondAgent();
        assertTrue(secondAgent.requestLines.get(0).contains("since=6"), secondAgent.requestLines.toString());
        secondAgent.sendBytewise(list(4, true, "one ready", "two ready", "three ready"));
        secondAgent.sendBytewise(list(5, false, "three ready"));
        assertDrained("two");
        firstAgent.endWatch();
        secondAgent.sendBytewise(list(6, false, "two draining"));
        secondAgent.sendBytewise(list(7, false, "two gone"));
        secondAgent.sendBytewise(list(8, false, "two ready"));
        int statementsBefore = members.server("two").statements.size();
        await(() -> members.server("two").statements.size() > statementsBefore);
    }

    /** Prevents that a list which comes indented is never understood, so that a drain is missed. */
    @Test void drainInAnIndentedListIsApplied() throws Exception {
        var indented = new GsonBuilder().setPrettyPrinting().create();
        firstAgent.sendBytewise(indented.toJson(JsonParser.parseString(list(6, false, "two draining"))));
        assertDrained("two");
        firstAgent.sendBytewise("");
        firstAgent.sendAtOnce(indented.toJson(JsonParser.parseString(list(7, true, "one ready", "two ready"))));
        int statementsBefore = members.server("two").statements.size();
        await(() -> members.server("two").statements.size() > statementsBefore);
        assertEquals(0, counter("discovery.unreadable"));
    }

    /** Prevents silence after a list that was cut off: the watch is opened anew, and what was cut off comes again. */
    @Test void watchWhoseListIsCutOffIsOpenedAnew() throws Exception {
        firstAgent.sendAtOnce("{\"generation\":6,\"instances\":[{\"instanceId\":\"two\",");
        firstAgent.sendAtOnce("");
        firstAgent.awaitWatch().sendAtOnce(list(6, false, "two draining"));
        assertDrained("two");
        assertEquals(1, counter("discovery.unreadable"));
    }

    /** Each agent sends its line in one write, the new agent first; the gateway may read them in either order. */
    @Test void drainHoldsWhicheverAgentsLineIsReadFirst() throws Exception {
        moveToSecondAgent();
        for (int generation = 6; generation < 26; generation += 2) {
            secondAgent.sendAtOnce(list(generation - 3, true, "one ready", "two ready", "three ready"));
            firstAgent.sendAtOnce(list(generation, false, "two draining"));
            assertDrained("two");
            firstAgent.sendAtOnce(list(generation + 1, false, "two ready"));
            int statementsBefore = members.server("two").statements.size();
            await(() -> members.server("two").statements.size() > statementsBefore);
        }
    }

    /**
     * Prevents a drain from being undone by a restart: the list cached from before it is newer than the first list of
     * an agent that is behind.
     */
    @Test void cachedDrainOutlivesAnOlderFirstList() throws Exception {
        gateway.stop();
        JsonObject restartConfig = config.deepCopy();
        restartConfig.add("known", JsonParser.parseString(list(9, true, "one ready", "two draining", "three ready")));
        restartConfig.addProperty("discovery", secondAgent.address());
        Gateway restarted = new Gateway(Configuration.parse(restartConfig.toString()));
        sendingLoad = false;
        for (Thread client : clients) {
            client.join();
        }
        sendingLoad = true;
        gateway.stop().join();
        gateway = restarted;
        address = restarted.start().join();
        secondAgent.awaitWatch().sendBytewise(list(8, true, "one ready", "two ready", "three ready"));
        await(() -> counter("discovery.lists") + counter("discovery.older") > 0);
        clients.add(new Thread(this::sendReads));
        clients.get(clients.size() - 1).start();
        assertDrained("two");
    }

    @Test void showDiscoveryListsTheStateAndGenerationOfEachWatch() throws Exception {
        moveToSecondAgent();
        secondAgent.sendBytewise(list(4, true, "one ready", "two ready", "three ready"));
        await(() -> counter("discovery.older") > 0);
        try (Connection connection = DriverManager.getConnection("jdbc:postgresql://" + address.getHostString() + ":"
                + address.getPort() + "/crm?preferQueryMode=simple&sslmode=disable&user=portal");
                Statement statement = connection.createStatement();
                ResultSet rows = statement.executeQuery("SHOW discovery")) {
            assertTrue(rows.next());
            assertEquals(List.of("leaving", "5", "5"),
                    List.of(rows.getString(2), rows.getString(3), rows.getString(4)));
            assertTrue(rows.next());
            assertTrue(rows.getString(1).endsWith(secondAgent.address()), rows.getString(1));
            assertEquals(List.of("followed, behind", "4", "5"),
                    List.of(rows.getString(2), rows.getString(3), rows.getString(4)));
            assertTrue(Long.parseLong(rows.getString(5)) >= 0);
            assertFalse(rows.next());
        }
    }
}
