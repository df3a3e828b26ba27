package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.pg.Messages;

/** Tests that statements are read and answered while others, which nobody answers, hold the memory for statements. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StatementMemoryLimitTest {
    private static final int MEMORY_MB = 16;
    private static final int STATEMENT_MEMORY = MEMORY_MB / 8 << 20;
    private static final String REFUSED = "E:53300:100 Z"; // a quarter of the shortest soft deadline later

    private final List<BlockingClient> clients = new ArrayList<>();
    private ScriptedEngine engine;
    private Gateway gateway;
    private InetSocketAddress address;
    private int nextId = 0x1000;

    @BeforeEach void start() throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:9"); // nothing listens there
        config.getAsJsonObject("limits").addProperty("memory_mb", MEMORY_MB);
        gateway = new Gateway(Configuration.parse(config.toString()), new GatewayComponents((settings, actions) ->
                engine = new ScriptedEngine(actions), null));
        address = gateway.start().join();
    }

    @AfterEach void stop() throws IOException {
        gateway.runOnEventLoop(engine::pushBackHeld).join();
        for (BlockingClient client : clients) {
            client.close();
        }
        gateway.stop().join();
        assertEquals(0, gateway.counters().join().get("client.heldbytes"));
    }

    private BlockingClient connect() throws IOException {
        clients.add(new BlockingClient(address).startup());
        return clients.get(clients.size() - 1);
    }

    /** How many clients had statements that wait refused for want of memory. */
    private long refusing() {
        return gateway.counters().join().get("client.heldback.memory");
    }

    private ByteBuf statement(int group, String method, int valueBytes) {
        String comment = "/* id=" + Integer.toHexString(nextId++) + ",c=" + method + ",t=acme,d=3000,k=1,cluster="
                + group + " */ ";
        return Messages.query(Unpooled.buffer(), comment + (method.equals("order")
                ? "INSERT INTO facts (code, data) VALUES ('a', '" + "v".repeat(valueBytes) + "') RETURNING data"
                : "SELECT data FROM facts WHERE code = 'a'"));
    }

    private long held() {
        return gateway.counters().join().get("client.heldbytes");
    }

    /** Waits until the statement is held or answered; returns whether it is held. */
    private boolean isHeld(BlockingClient client, long heldBefore) throws Exception {
        while (held() <= heldBefore) {
            if (client.in.available() > 0) {
                return false;
            }
            Thread.sleep(1);
        }
        return true;
    }

    /**
     * Prevents statements without an answer, which happens when reading is paused while held writes of a group whose
     * primary hangs fill the memory: here they are pushed back at once, and other groups are served.
     */
    @Test void statementsAreAnsweredWhileOneGroupHoldsItsPartOfTheMemory() throws Exception {
        long before;
        BlockingClient writer;
        do {
            before = held();
            writer = connect();
            writer.send(statement(1, "order", 131_072));
        } while (isHeld(writer, before));
        assertTrue(before > STATEMENT_MEMORY / 4 && before <= STATEMENT_MEMORY / 2, before + " bytes are held");
        assertEquals(REFUSED, writer.readAnswer());
        for (int i = 0; i < 20; i++) {
            writer.send(statement(1, "order", 131_072));
            assertEquals(REFUSED, writer.readAnswer());
        }
        assertEquals(21, gateway.counters().join().get("client.refused.memory"));
        long heldByFirst = held();
        BlockingClient reader = connect();
        reader.send(statement(2, "history", 0));
        assertTrue(isHeld(reader, heldByFirst), "the other group's statement reaches the engine");
        BlockingClient otherWriter = connect();
        long heldWithReader = held();
        otherWriter.send(statement(2, "order", 131_072));
        assertTrue(isHeld(otherWriter, heldWithReader), "the other group has memory for large statements too");
    }

    /** Prevents memory that is never given back: it is held before the statement's text is found to be no statement. */
    @Test void invalidStatementKeepsNoMemory() throws Exception {
        BlockingClient client = connect();
        assertEquals("E:42601 Z", client.ask("/* id=1,c=history,t=acme,d=3000,cluster=1 */ SELECT 'a"));
        assertEquals(0, held());
    }

    /** Prevents the same by statements that wait behind another one of their client: they are answered in turn. */
    @Test void waitingStatementsAreAnsweredInTheirTurnWhereMemoryIsShort() throws Exception {
        BlockingClient client;
        long grownBy;
        do {
            client = connect();
            long before = held();
            client.send(statement(1, "history", 0));
            assertTrue(isHeld(client, before));
            before = held();
            client.send(statement(2, "order", 131_072));
            while (held() < before + 131_072 && refusing() == 0) {
                Thread.sleep(1);
            }
            grownBy = held() - before;
        } while (grownBy > 131_072);
        assertTrue(grownBy < 1_000, "the content of a statement that waits without memory is dropped");
        assertTrue(held() <= STATEMENT_MEMORY / 2 + STATEMENT_MEMORY / 8, held() + " bytes are held");
        gateway.runOnEventLoop(() -> {
            engine.pushBackHeld();
            engine.actions.scheduleWakeUp(0); // the next message of a client is handled after a batch
        }).join();
        assertEquals("E:53300 Z", client.readAnswer());
        assertEquals(REFUSED, client.readAnswer());
    }
}
