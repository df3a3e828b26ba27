package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.pg.Messages;

/**
 * Tests that a connection never ends over a request that stands unread in its socket: the event loop is held up while
 * the request arrives, and then closes the connection or concludes something from what has not arrived.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UnreadAtCloseTest extends ScriptedGateway {
    private static final int SOCKETS = 128;
    private static final int MANY_SOCKETS = 1024;
    private static final int HOLD_UP_MILLIS = 60;
    private static final int PIPELINED = 5;
    private static final int BACKLOG = 60; // more than are accepted in one turn
    private static final String LARGE_VALUE = "\\x" + "9f".repeat(60 * 1024);
    private static final int SMALL_BUFFER_BYTES = 4096;
    private static final int MAX_ASKED = 20_000;
    private static final long ALLOWED_NANOS = 1_000_000_000;

    private final List<BlockingClient> clients = new ArrayList<>();

    @AfterEach void closeClients() throws IOException {
        for (BlockingClient client : clients) {
            client.close();
        }
    }

    private void start() throws IOException {
        start(SOCKETS);
    }

    private void start(int sockets) throws IOException {
        JsonObject config = configuration();
        config.getAsJsonObject("limits").addProperty("sockets", sockets);
        start(config, null);
        engine.onArrival = arrived -> engine.afterNextBatch = engine::pushBackHeld;
    }

    private BlockingClient startedClient() throws IOException {
        BlockingClient client = connect();
        clients.add(client);
        assertEquals("C Z", client.ask("SET x = 1"));
        return client;
    }

    private BlockingClient silentClient() throws IOException, InterruptedException {
        long accepted = counter("client.accepted");
        BlockingClient client = new BlockingClient(address);
        clients.add(client);
        awaitCounter("client.accepted", accepted + 1);
        return client;
    }

    private ByteBuf request() {
        return request("v");
    }

    private ByteBuf request(String value) {
        return Messages.query(Unpooled.buffer(), "/* id=" + Integer.toHexString(nextId++)
                + ",c=order,t=acme,d=3000,k=1,cluster=1 */ INSERT INTO facts (code, data) VALUES ('k', '" + value
                + "') RETURNING data");
    }

    private static ByteBuf startup() {
        return Messages.startupMessage(Unpooled.buffer(), "portal", "crm");
    }

    private interface Step {
        void run() throws Exception;
    }

    /** Runs the step on the event loop, which reads nothing meanwhile, and holds it up until what was sent is there. */
    private void whileHeldUp(Step step) {
        gateway.runOnEventLoop(() -> assertDoesNotThrow(() -> {
            step.run();
            Thread.sleep(HOLD_UP_MILLIS);
        })).join();
    }

    /** The same, and then, before any socket is read, the action on the session that was opened last. */
    private void whileHeldUpBefore(Step step, java.util.function.Consumer<ClientSession> action) {
        gateway.runOnEventLoop(() -> assertDoesNotThrow(() -> {
            step.run();
            Thread.sleep(HOLD_UP_MILLIS);
            List<ClientSession> open = new ArrayList<>(gateway.openSessions());
            action.accept(open.get(open.size() - 1));
        })).join();
    }

    private static void assertRefused(String answer) {
        assertTrue(answer.matches("E:(53300|57P03)(:[0-9]+)? Z"), answer);
    }

    /** Prevents an end of the connection over a request that stands unread in the socket when the gateway drains. */
    @Test void requestThatIsUnreadAtADrainIsAnswered() throws Exception {
        start();
        BlockingClient client = startedClient();
        whileHeldUpBefore(() -> client.send(request()), ClientSession::drain);
        assertRefused(client.readAnswer());
        assertEquals("closed", client.readAnswer());
    }

    /** Prevents the same where several requests were sent at once, small ones or more than one read can take. */
    @Test void requestsThatAreUnreadAtADrainAreAnswered() throws Exception {
        start();
        for (String value : List.of("v", LARGE_VALUE)) {
            BlockingClient client = startedClient();
            ByteBuf batch = Unpooled.buffer();
            for (int i = 0; i < PIPELINED; i++) {
                batch.writeBytes(request(value));
            }
            Thread writer = new Thread(() -> assertDoesNotThrow(() -> client.send(batch)));
            whileHeldUpBefore(writer::start, ClientSession::drain);
            for (int i = 0; i < PIPELINED; i++) {
                assertRefused(client.readAnswer());
            }
            assertEquals("closed", client.readAnswer());
        }
    }

    /** Prevents the same for a client whose startup message is unread too. */
    @Test void requestBehindAnUnreadStartupIsAnsweredAtADrain() throws Exception {
        start();
        BlockingClient client = silentClient();
        whileHeldUpBefore(() -> client.send(startup().writeBytes(request())), ClientSession::drain);
        assertTrue(client.readAnswer().endsWith("Z"));
        assertRefused(client.readAnswer());
        assertEquals("closed", client.readAnswer());
    }

    /** Prevents that a client whose malformed message is unread at a drain gets no error. */
    @Test void malformedMessageThatIsUnreadAtADrainGetsItsError() throws Exception {
        start();
        BlockingClient client = startedClient();
        whileHeldUpBefore(() -> client.send(Unpooled.buffer().writeByte(1).writeInt(8)), ClientSession::drain);
        assertEquals("E:08P01 closed", client.readAnswer());
    }

    /** Prevents the same for a request that arrives while the last answer before the drain is sent. */
    @Test void requestThatIsUnreadWhenTheLastAnswerIsSentIsAnswered() throws Exception {
        start();
        engine.onArrival = arrived -> { };
        BlockingClient client = startedClient();
        client.send(request());
        awaitHeld(1);
        whileHeldUpBefore(() -> client.send(request()), session -> {
            session.drain();
            engine.pushBackHeld();
            engine.onArrival = arrived -> engine.afterNextBatch = engine::pushBackHeld;
            session.resume();
        });
        assertRefused(client.readAnswer());
        assertRefused(client.readAnswer());
        assertEquals("closed", client.readAnswer());
    }

    /** Prevents an end over a request that arrives unread while the client's answers wait to be read by it. */
    @Test void requestThatIsUnreadBehindUnreadAnswersIsAnsweredAtADrain() throws Exception {
        start();
        BlockingClient client = new BlockingClient(address, SMALL_BUFFER_BYTES).startup();
        clients.add(client);
        int asked = 0;
        while (counter("client.outputbytes") == 0) {
            assertTrue(asked < MAX_ASKED, "all answers fit into the buffers of the system");
            client.send(Messages.query(Unpooled.buffer(), "SHOW counters"));
            asked++;
            Thread.sleep(1);
        }
        whileHeldUpBefore(() -> client.send(request()), ClientSession::drain);
        for (int i = 0; i < asked; i++) {
            assertTrue(client.readAnswer().endsWith("Z"), i + " of " + asked);
        }
        assertRefused(client.readAnswer());
        assertEquals("closed", client.readAnswer());
    }

    /** Prevents an end of an idle connection for room over a request that stands unread in its socket. */
    @Test void requestThatIsUnreadWhenRoomIsNeededIsAnswered() throws Exception {
        start();
        int limit = new Limits(SOCKETS, 192).clientsSoftLimit;
        while (clients.size() < limit) {
            startedClient();
        }
        whileHeldUp(() -> {
            clients.add(new BlockingClient(address));
            clients.get(0).send(request()); // the one that has been idle longest
        });
        assertRefused(clients.get(0).readAnswer());
        assertEquals("closed", clients.get(1).readAnswer());
        assertEquals(1, counter("client.closed.room"));
    }

    /** Prevents the same for a session that had sent nothing: its startup message and first request are unread. */
    @Test void firstRequestThatIsUnreadWhenRoomIsNeededIsAnswered() throws Exception {
        start();
        int limit = new Limits(SOCKETS, 192).clientsSoftLimit;
        BlockingClient silent = silentClient();
        while (clients.size() < limit) {
            startedClient();
        }
        Thread.sleep(400); // silent for longer than the connect time-out, so that it is closed before idle ones
        whileHeldUp(() -> {
            clients.add(new BlockingClient(address));
            silent.send(startup().writeBytes(request()));
        });
        assertTrue(silent.readAnswer().endsWith("Z"));
        assertRefused(silent.readAnswer());
    }

    /** Prevents that a client counts as silent although what it sent in time stands unread. */
    @Test void clientWhoseStartupIsUnreadIsNotSilent() throws Exception {
        start();
        BlockingClient client = silentClient();
        whileHeldUpBefore(() -> client.send(startup().writeBytes(request())),
                session -> session.sweep(session.connectedAt() + Limits.UNUSED_TIMEOUT_NANOS, ALLOWED_NANOS));
        assertTrue(client.readAnswer().endsWith("Z"));
        assertRefused(client.readAnswer());
    }

    /** Prevents that a message counts as one without an end although its end stands unread. */
    @Test void messageWhoseEndIsUnreadIsNotWithoutEnd() throws Exception {
        start();
        BlockingClient client = startedClient();
        ByteBuf message = request(LARGE_VALUE);
        client.send(message.readRetainedSlice(20));
        awaitCounter("client.heldback.incomplete", 1);
        Thread writer = new Thread(() -> assertDoesNotThrow(() -> client.send(message)));
        whileHeldUpBefore(writer::start, session -> session.sweep(
                gateway.lastSweepAt() + 2 * Limits.UNUSED_TIMEOUT_NANOS, ALLOWED_NANOS));
        assertRefused(client.readAnswer());
        assertEquals("C Z", client.ask("SET x = 1"));
    }

    /** Prevents an end over an unread request at the end of a shutdown: it is refused first. */
    @Test void requestThatIsUnreadAtTheEndOfAShutdownIsRefused() throws Exception {
        start();
        BlockingClient client = startedClient();
        whileHeldUpBefore(() -> client.send(request().writeBytes(request())),
                session -> session.abandon(CloseReason.SHUTDOWN, ALLOWED_NANOS));
        assertEquals("E:57P03 Z", client.readAnswer());
        assertEquals("E:57P03 Z", client.readAnswer());
        assertEquals("closed", client.readAnswer());
    }

    /** Prevents an end in order over an unread request where no time is left to read it: the client sees a reset. */
    @Test void connectionIsResetOverInputThatCannotBeRead() throws Exception {
        start();
        BlockingClient client = startedClient();
        whileHeldUpBefore(() -> client.send(request()), session -> session.abandon(CloseReason.SHUTDOWN, 0));
        assertThrows(SocketException.class, client::readAnswer);
    }

    /** Prevents resets of connections that wait to be accepted when the listener closes. */
    @Test void connectionsInTheBacklogAreServedWhenTheListenerCloses() throws Exception {
        start(MANY_SOCKETS);
        Thread.sleep(100);
        gateway.stop();
        long stoppedAt = System.nanoTime();
        Thread.sleep((Shutdown.ACCEPT_NANOS - (System.nanoTime() - stoppedAt)) / 1_000_000 + 5);
        whileHeldUp(() -> {
            for (int i = 0; i < BACKLOG; i++) {
                clients.add(new BlockingClient(address));
            }
        });
        for (BlockingClient client : clients) {
            client.send(startup().writeBytes(request()));
            assertTrue(client.readAnswer().endsWith("Z"));
            assertRefused(client.readAnswer());
        }
    }
}
