package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.pg.Messages;

/**
 * Tests that a gateway closes no connection by its own will while its client is owed an answer. A scripted engine
 * decides when RPCs are answered, so that no test depends on timing.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SessionClosingTest extends ScriptedGateway {
    private static final int SOCKETS = 128;

    private static JsonObject limitedConfiguration() throws IOException {
        JsonObject config = configuration();
        config.getAsJsonObject("limits").addProperty("sockets", SOCKETS);
        return config;
    }

    private ByteBuf rpc(String method) {
        String sql = method.equals("order") ? ",k=1,cluster=1 */ INSERT INTO facts (code, data) VALUES ('k', 'v')"
                + " RETURNING data" : ",cluster=1 */ SELECT data FROM facts WHERE code = 'k'";
        return Messages.query(Unpooled.buffer(),
                "/* id=" + Integer.toHexString(nextId++) + ",c=" + method + ",t=acme,d=3000" + sql);
    }

    /**
     * Prevents the loss of an RPC whose session is closed for room, which happens when other RPCs are answered while
     * this one starts and the session still counts as the longest idle one.
     */
    @Test void sessionWhoseRpcJustStartedIsNotClosedForRoom() throws Exception {
        start(limitedConfiguration(), null);
        List<BlockingClient> writers = new ArrayList<>();
        while (writers.size() < new Limits(SOCKETS, 192).startedSessionsSoftLimit) {
            writers.add(connect());
            writers.get(writers.size() - 1).send(rpc("order"));
        }
        awaitHeld(writers.size());
        BlockingClient reader = connect();
        assertEquals("C Z", reader.ask("SET x = 1"));
        engine.onArrival = arrived -> engine.pushBackHeld();
        reader.send(rpc("history"));
        for (BlockingClient writer : writers) {
            assertEquals("E:53300 Z", writer.readAnswer());
        }
        awaitHeld(1);
        gateway.runOnEventLoop(engine::pushBackHeld).join();
        assertEquals("E:53300 Z", reader.readAnswer());
        for (BlockingClient writer : writers) {
            writer.close();
        }
        reader.close();
    }

    /**
     * Prevents that resting connections of usual clients are closed for room while those that hold half a message stay:
     * the sessions that are held back count by themselves, and where they are most, the oldest of them is closed.
     */
    @Test void restingSessionIsNotClosedForHalfMessages() throws Exception {
        start(limitedConfiguration(), null);
        Limits limits = new Limits(SOCKETS, 192);
        try (BlockingClient resting = connect()) {
            assertEquals("C Z", resting.ask("SET x = 1"));
            List<BlockingClient> half = new ArrayList<>();
            while (half.size() < limits.clientsSoftLimit) {
                half.add(connect());
                assertEquals("C Z", half.get(half.size() - 1).ask("SET x = 1"));
                half.get(half.size() - 1).send(rpc("history").readRetainedSlice(20));
                long expected = half.size();
                awaitCounter("client.heldback.incomplete", expected);
            }
            awaitCounter("client.closed.heldback", 1);
            assertEquals("E:08P01 closed", half.get(0).readAnswer());
            assertEquals("C Z", resting.ask("SET x = 1"));
            for (BlockingClient client : half) {
                client.close();
            }
        }
        assertEquals(0, counter("client.closed.room"));
    }

    /** Prevents the loss of an RPC that follows an empty query on a gateway that drains before it is ready. */
    @Test void rpcBehindAnUnansweredEmptyQueryIsAnsweredAtADrain() throws Exception {
        JsonObject config = limitedConfiguration();
        config.getAsJsonObject("settings").getAsJsonArray("Grades").forEach(method -> {
            method.getAsJsonObject().addProperty("OnTime", 100.0);
            method.getAsJsonObject().addProperty("GiveUp", 200.0);
        });
        start(config, null);
        engine.onArrival = arrived -> engine.pushBackHeld();
        try (BlockingClient client = connect()) {
            client.send(Messages.query(Unpooled.buffer(), "").writeBytes(rpc("history")));
            gateway.stop();
            assertTrue(client.readAnswer().endsWith("Z"));
            String answer = client.readAnswer();
            assertTrue(answer.startsWith("E:") && answer.endsWith("Z"), answer);
        }
    }

    /** Prevents the loss of an RPC of which a first part has been read when the gateway drains. */
    @Test void rpcThatIsHalfReadAtADrainIsAnswered() throws Exception {
        start(limitedConfiguration(), null);
        try (BlockingClient idle = connect(); BlockingClient client = connect()) {
            ByteBuf message = rpc("history");
            gateway.stop();
            Thread.sleep(2_500); // a message may stay incomplete for 2 s, and the drain begins 3.2 s after the stop
            client.send(message.readRetainedSlice(20));
            assertEquals("closed", idle.readAnswer());
            client.send(message);
            awaitHeld(1);
            gateway.runOnEventLoop(engine::pushBackHeld).join();
            assertEquals("E:53300 Z", client.readAnswer());
            assertEquals("closed", client.readAnswer());
        }
    }

    /** Prevents the loss of RPCs that are in flight or queued when a shutdown ends, whatever the engine does. */
    @Test void rpcsInFlightAndQueuedAreAnsweredAtTheEndOfAShutdown() throws Exception {
        start(limitedConfiguration(), null);
        try (BlockingClient client = connect()) {
            var stopped = gateway.stop();
            Thread.sleep(1_000); // the deadline of an order, 3 s, is now beyond the end of the shutdown after 3.6 s
            client.send(rpc("order").writeBytes(rpc("history")).writeBytes(rpc("order")));
            awaitHeld(1);
            stopped.join();
            assertEquals("E:58000 Z", client.readAnswer());
            assertEquals("E:57P03 Z", client.readAnswer());
            assertEquals("E:57P03 Z", client.readAnswer());
            assertEquals("closed", client.readAnswer());
        }
    }

    /** Prevents the loss of an RPC whose session fails: it is answered as failed before the connection closes. */
    @Test void rpcIsAnsweredWhenItsSessionFails() throws Exception {
        start(limitedConfiguration(), new ClientIdentifier(null, null)); // fails at each RPC
        try (BlockingClient client = connect()) {
            client.send(rpc("history").writeBytes(rpc("history")));
            assertEquals("E:58000 Z", client.readAnswer());
            assertEquals("E:57P03 Z", client.readAnswer());
            assertEquals("closed", client.readAnswer());
            assertEquals(1, counter("client.failed"));
        }
    }

    /** Prevents the loss of an RPC on which a decision fails, which then has no timer that would end it. */
    @Test void rpcIsAnsweredWhenItsDecisionFails() throws Exception {
        start(limitedConfiguration(), null);
        List<Throwable> failures = List.of(new NoClassDefFoundError("no descriptor left to load a class"),
                new IllegalStateException("a fault of the engine"));
        for (Throwable failure : failures) {
            engine.onArrival = arrived -> {
                if (failure instanceof Error error) {
                    throw error;
                }
                throw (RuntimeException) failure;
            };
            try (BlockingClient client = connect()) {
                long sentAt = System.nanoTime();
                client.send(rpc("history"));
                assertEquals("E:58000 Z", client.readAnswer());
                long lateMillis = (System.nanoTime() - sentAt) / 1_000_000 - 1200; // after the deadline of the method
                assertTrue(lateMillis < 500, "an RPC counts as lost half a second after its deadline: " + lateMillis);
            }
        }
        assertEquals(2, counter("broken.decision"));
    }

    /** Prevents call-outs for a client that left while its input was not read, since it had sent too much at once. */
    @Test void clientThatLeftWhileItsReadingWasPausedGetsNoCallOut() throws Exception {
        JsonObject config = limitedConfiguration();
        config.getAsJsonObject("limits").addProperty("memory_mb", 8);
        start(config, null);
        BlockingClient client = connect();
        ByteBuf messages = Unpooled.buffer();
        for (int i = 0; i < 600; i++) { // more than may be queued for one client
            messages.writeBytes(rpc("history"));
        }
        client.send(messages);
        awaitHeld(1);
        client.close();
        Thread.sleep(200);
        engine.onArrival = arrived -> engine.pushBackHeld();
        try (BlockingClient other = connect()) {
            other.send(rpc("history")); // in its batch the first RPC is answered, and the next one would start
            Thread.sleep(200);
            assertEquals(2, counter("rpc.taken"), "one RPC of each client");
        }
    }

    /** Prevents a needless pushback, which happens when a pause of accepting counts although nobody waited for it. */
    @Test void deadlineOfANewClientIsWholeAfterAnOldPause() throws Exception {
        start(limitedConfiguration(), null);
        List<BlockingClient> clients = new ArrayList<>();
        while (clients.size() < new Limits(SOCKETS, 192).maxClients) { // accepting is paused at this number
            clients.add(connect());
            clients.get(clients.size() - 1).send(rpc("order"));
        }
        awaitHeld(clients.size());
        for (BlockingClient client : clients) {
            client.close();
        }
        awaitHeld(0);
        Thread.sleep(1_500); // longer than the method's deadline
        try (BlockingClient client = new BlockingClient(address)) {
            client.send(Messages.startupMessage(Unpooled.buffer(), "portal", "crm").writeBytes(rpc("history")));
            awaitHeld(1);
            long[] deadline = new long[1];
            gateway.runOnEventLoop(() -> deadline[0] = engine.held.get(0).deadline).join();
            long leftMillis = deadline[0] / 1_000_000 - System.currentTimeMillis();
            assertTrue(leftMillis > 900, "the method's deadline is 1,200 ms, left are " + leftMillis);
        }
    }

    /** Prevents an answer past its time, which happens when the wait to be accepted is not taken off the deadline. */
    @Test void deadlineOfAClientThatWaitedToBeAcceptedIsNearer() throws Exception {
        start(limitedConfiguration(), null);
        List<BlockingClient> clients = new ArrayList<>();
        while (clients.size() < new Limits(SOCKETS, 192).maxClients) { // accepting is paused at this number
            clients.add(connect());
            clients.get(clients.size() - 1).send(rpc("order"));
        }
        awaitHeld(clients.size());
        try (BlockingClient waiting = new BlockingClient(address)) {
            waiting.send(Messages.startupMessage(Unpooled.buffer(), "portal", "crm").writeBytes(rpc("history")));
            long sentAt = System.currentTimeMillis();
            Thread.sleep(600);
            clients.remove(0).close();
            awaitCounter("client.closed.client", 1);
            awaitHeld(clients.size() + 1);
            long[] deadline = new long[1];
            gateway.runOnEventLoop(() -> deadline[0] = engine.held.get(engine.held.size() - 1).deadline).join();
            long afterSending = deadline[0] / 1_000_000 - sentAt;
            assertTrue(afterSending <= 1_250, "the client waits 1,200 ms, the deadline is after " + afterSending);
        }
        for (BlockingClient client : clients) {
            client.close();
        }
    }
}
