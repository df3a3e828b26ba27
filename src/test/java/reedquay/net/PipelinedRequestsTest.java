package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.core.Rpc;
import reedquay.pg.Messages;
import reedquay.sessions.OpenRequestIds;

/**
 * Tests that every request of a batch that was read gets its answer or its refusal, whatever happens to the session
 * while a part of the batch is unread. A scripted engine holds the first request until then.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PipelinedRequestsTest extends ScriptedGateway {
    private static final int BATCH_REQUESTS = 4;
    private static final int MANY = 200;
    private static final int CROWD = 60;
    private static final int ROUNDS = 4;
    private static final int SHORT_MEMORY_MB = 16;
    private static final String LARGE_VALUE = "\\x" + "9f".repeat(60 * 1024);

    private BlockingClient client;
    private ClientSession session;

    @AfterEach void closeClient() throws IOException {
        if (client != null) {
            client.close();
        }
    }

    private ByteBuf write(String value) {
        return Messages.query(Unpooled.buffer(), "/* id=" + Integer.toHexString(nextId++)
                + ",c=order,t=acme,d=3000,k=1,cluster=1 */ INSERT INTO facts (code, data) VALUES ('k', '" + value
                + "') RETURNING data");
    }

    private ByteBuf batch(int requests, String value) {
        ByteBuf batch = Unpooled.buffer();
        for (int i = 0; i < requests; i++) {
            ByteBuf message = write(value);
            batch.writeBytes(message);
            message.release();
        }
        return batch;
    }

    /** Starts a gateway and a client whose first request, with that value, is held. */
    private void startWithRequestInFlight(String value) throws Exception {
        start(configuration(), null);
        client = connect();
        client.send(write(value));
        awaitHeld(1);
        gateway.runOnEventLoop(() -> session = (ClientSession) engine.held.get(0).frontState).join();
    }

    /**
     * Sends batches behind a request in flight until the action has run at a moment in which a part of one is unread;
     * each request has to be refused then.
     */
    private void assertAllRefusedAfter(Consumer<ClientSession> action, String value) throws Exception {
        startWithRequestInFlight("first");
        boolean[] done = {false};
        int requests = 1;
        while (!done[0]) {
            ByteBuf batch = batch(BATCH_REQUESTS, value);
            requests += BATCH_REQUESTS;
            Thread writer = new Thread(() -> assertDoesNotThrow(() -> client.send(batch)));
            writer.start();
            while (!done[0] && writer.isAlive()) {
                gateway.runOnEventLoop(() -> {
                    if (session.mayHaveUnreadInput()) {
                        action.accept(session);
                        done[0] = true;
                    }
                }).join();
            }
            writer.join();
        }
        assertRefused(answers(requests), requests);
    }

    /** Pushes back all that is held, now and later, until the client has its answers. */
    private List<String> answers(int count) throws Exception {
        Thread answering = new Thread(() -> {
            while (!Thread.interrupted()) {
                gateway.runOnEventLoop(() -> {
                    engine.pushBackHeld();
                    session.resume(); // a session goes on after the batch of its answer, and this is none
                }).join();
                Thread.onSpinWait();
            }
        });
        answering.start();
        List<String> answers = new ArrayList<>();
        try {
            while (answers.size() < count && (answers.isEmpty() || !lastOf(answers).endsWith("closed"))) {
                answers.add(client.readAnswer());
            }
        } finally {
            answering.interrupt();
            answering.join();
        }
        return answers;
    }

    private static String lastOf(List<String> answers) {
        return answers.get(answers.size() - 1);
    }

    /** As many answers as expected, all of them refusals, with or without a time to come back. */
    private static void assertRefused(List<String> answers, int expected) {
        assertEquals(expected, answers.size(), answers.toString());
        assertTrue(answers.stream().allMatch(answer -> answer.matches("E:(53300|57P03)(:[0-9]+)? Z")),
                answers.toString());
    }

    /**
     * Prevents the loss of requests at a planned restart: the gateway began to drain while a batch was half read behind
     * a request in flight, read the rest only to notice the client's end, dropped it, and closed in order.
     */
    @Test void batchThatIsHalfReadAtADrainIsAnswered() throws Exception {
        assertAllRefusedAfter(ClientSession::drain, "v".repeat(20_000)); // small enough to be kept otherwise
        assertEquals("closed", client.readAnswer());
        assertEquals(1, counter("client.closed.drain"));
        assertTrue(counter("client.refused.drain") > 0, "what was not read when the drain began is refused");
    }

    /** Prevents a drain that lasts for as long as a client sends: it is given up, and its connection ends. */
    @Test void clientThatSendsWithoutEndDoesNotHoldUpADrain() throws Exception {
        startWithRequestInFlight("first");
        client.send(Unpooled.buffer().writeByte('d').writeInt(4 + 8192).writeZero(4096)); // never at a message's end
        Throwable[] failure = new Throwable[1];
        Thread writer = new Thread(() -> failure[0] = assertThrows(IOException.class, () -> {
            while (true) {
                client.send(Unpooled.buffer().writeZero(4096).writeByte('d').writeInt(4 + 8192).writeZero(4096));
            }
        }));
        writer.start();
        gateway.runOnEventLoop(session::drain).join();
        assertEquals(List.of("E:53300 Z"), answers(1));
        writer.join(); // ends by a failed write alone
        assertTrue(failure[0].getMessage().contains("reset"), "an end in order hides unread input: " + failure[0]);
    }

    /**
     * Prevents the loss of requests that share a batch with one that is given up: an incomplete message was rejected
     * while memory was short, and those behind it were read, dropped, and followed by an end in order.
     */
    @Test void batchIsAnsweredWhereOneOfItsMessagesIsRejectedWhileIncomplete() throws Exception {
        assertAllRefusedAfter(ClientSession::rejectUnfinishedInput, LARGE_VALUE);
        assertEquals("C Z", client.ask("SET x = 1"));
    }

    /** Prevents the same loss where a session is ended to free its descriptor while a batch is half read. */
    @Test void batchOfASessionThatIsClosedForRoomIsAnswered() throws Exception {
        assertAllRefusedAfter(ClientSession::closeHeldBack, LARGE_VALUE);
        assertEquals("closed", client.readAnswer());
    }

    /** Prevents that requests in flight count as incomplete messages and are given up in the place of those. */
    @Test void requestInFlightTakesNothingOfTheMemoryForIncompleteMessages() throws Exception {
        startWithRequestInFlight(LARGE_VALUE);
        assertEquals(0, counter("client.partialbytes"));
        assertEquals(List.of("E:53300 Z"), answers(1));
    }

    /** Prevents short statements without end from filling the heap by their ids, which are no part of their bytes. */
    @Test void idsOfStatementsThatWaitTakeOfTheirMemory() throws Exception {
        startWithRequestInFlight("first");
        long before = counter("client.heldbytes");
        ByteBuf waiting = batch(MANY, "v");
        int bytes = waiting.readableBytes();
        client.send(waiting);
        awaitCounter("rpc.open", 1 + MANY);
        long taken = counter("client.heldbytes") - before;
        assertTrue(taken >= bytes + MANY * OpenRequestIds.BYTES_PER_ID, taken + " for " + bytes);
        assertRefused(answers(1 + MANY), 1 + MANY);
    }

    /** Prevents that a half message keeps a descriptor that is needed, for as long as one may be incomplete. */
    @Test void halfMessageEndsSoonWhereItsSessionIsClosedForRoom() throws Exception {
        startWithRequestInFlight("first");
        long sentAt = System.nanoTime();
        client.send(write("second").readRetainedSlice(20));
        awaitCounter("client.heldback.incomplete", 1);
        gateway.runOnEventLoop(session::closeHeldBack).join();
        assertEquals(List.of("E:53300 Z", "E:08P01 closed"), answers(2));
        assertTrue(System.nanoTime() - sentAt < Limits.UNUSED_TIMEOUT_NANOS, "it ends as if no room were needed");
    }

    /** Prevents that requests are dropped as a message without end, which were refused one after the other for long. */
    @Test void messagesThatAreRefusedForLongAreNoMessageWithoutEnd() throws Exception {
        startWithRequestInFlight("first");
        gateway.runOnEventLoop(session::rejectUnfinishedInput).join(); // so that all that follows is refused
        int requests = 1;
        ByteBuf rest = Unpooled.buffer();
        for (long end = System.nanoTime() + 3 * Limits.UNUSED_TIMEOUT_NANOS / 2; System.nanoTime() < end; requests++) {
            ByteBuf message = write("v");
            client.send(rest.writeBytes(message, 20)); // never at a message's end
            rest = message;
            Thread.sleep(5);
        }
        client.send(rest);
        assertRefused(answers(requests), requests);
        assertEquals("C Z", client.ask("SET x = 1"));
    }

    /** Asks with the id of the statement that is written next; returns the error, or that it was accepted. */
    private String askWithNextId(BlockingClient other) throws Exception {
        long taken = counter("rpc.taken");
        int id = nextId;
        other.send(write("other"));
        nextId = id;
        while (other.in.available() == 0) {
            if (counter("rpc.taken") > taken) {
                return "accepted";
            }
            Thread.sleep(1);
        }
        return other.readAnswer();
    }

    /**
     * Prevents that another client is served under the id of a request that was read and waits: ids were known only
     * from the moment in which their request was passed to the routing engine.
     */
    @Test void idOfARequestThatWaitsBehindAnotherIsOpen() throws Exception {
        startWithRequestInFlight("first");
        client.send(write("second").writeBytes(write("third")));
        awaitCounter("rpc.open", 3);
        try (BlockingClient other = connect()) {
            nextId -= 2; // the second one's id
            assertEquals("E:42601 Z", askWithNextId(other));
            nextId++;
            assertEquals("E:42601 Z", askWithNextId(other));
            assertRefused(answers(3), 3);
            assertEquals("accepted", askWithNextId(other), "after the final answer the id is not open");
        }
    }

    /** Prevents the same while a request waits until the gateway is ready; the id ends with its client. */
    @Test void idOfARequestThatWaitsForTheGatewayIsOpen() throws Exception {
        start(configuration(), null);
        client = new BlockingClient(address);
        ByteBuf startup = Messages.startupMessage(Unpooled.buffer(), "portal", "crm");
        client.send(Messages.query(startup, "").writeBytes(write("first"))); // not ready without a list
        awaitCounter("rpc.open", 1);
        try (BlockingClient other = connect()) {
            nextId--;
            assertEquals("E:42601 Z", askWithNextId(other));
            client.close();
            awaitCounter("client.closed.client", 1);
            assertEquals(0, counter("rpc.open"));
            assertEquals("accepted", askWithNextId(other), "its client has left");
        }
    }

    /** Prevents that an id is open for a client that has left, in the turn of the event loop that reads its end. */
    @Test void idOfAClientWhoseEndIsUnreadIsNotOpen() throws Exception {
        startWithRequestInFlight("first");
        nextId--;
        try (BlockingClient other = connect()) {
            gateway.runOnEventLoop(() -> assertDoesNotThrow(() -> { // both are read in one turn, the statement first
                other.send(write("other"));
                client.close();
                Thread.sleep(50);
            })).join();
            awaitCounter("rpc.clientgone", 1);
            assertEquals("E:53300 Z", answersTo(other));
        }
    }

    private String answersTo(BlockingClient other) throws Exception {
        awaitHeld(1);
        gateway.runOnEventLoop(engine::pushBackHeld).join();
        return other.readAnswer();
    }

    /**
     * Prevents the loss of usual clients' requests where they themselves use up the memory: each request of a batch
     * gets its answer or its refusal, whatever of it is kept, held, or given up while it is incomplete.
     */
    @Test void everyRequestOfManyLargeBatchesIsAnswered() throws Exception {
        JsonObject config = configuration();
        config.getAsJsonObject("limits").addProperty("memory_mb", SHORT_MEMORY_MB);
        start(config, null);
        List<Thread> clients = new ArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        for (int i = 0; i < CROWD; i++) {
            clients.add(new Thread(() -> {
                try (BlockingClient crowdClient = connect()) {
                    for (int round = 0; round < ROUNDS; round++) {
                        ByteBuf batch;
                        synchronized (this) {
                            batch = batch(BATCH_REQUESTS, LARGE_VALUE);
                        }
                        crowdClient.send(batch);
                        for (int request = 0; request < BATCH_REQUESTS; request++) {
                            assertRefused(List.of(crowdClient.readAnswer()), 1);
                            answered.incrementAndGet();
                        }
                    }
                } catch (IOException | AssertionError e) {
                    failed.incrementAndGet();
                }
            }));
        }
        clients.forEach(Thread::start);
        while (clients.stream().anyMatch(Thread::isAlive)) {
            gateway.runOnEventLoop(() -> {
                List<Rpc> held = List.copyOf(engine.held);
                engine.pushBackHeld();
                held.forEach(rpc -> ((ClientSession) rpc.frontState).resume());
            }).join();
            Thread.sleep(5);
        }
        assertEquals(0, failed.get());
        assertEquals(CROWD * ROUNDS * BATCH_REQUESTS, answered.get());
        assertTrue(counter("client.refused.partial") > 0, "memory for incomplete messages was short");
    }

    /** Prevents an end in order over requests that were read, where there is no time left to refuse them. */
    @Test void connectionIsResetOverRequestsWithoutAnAnswer() throws Exception {
        startWithRequestInFlight("first");
        client.send(write("second").writeBytes(write("third")));
        awaitCounter("rpc.open", 3);
        gateway.runOnEventLoop(() -> session.abandon(CloseReason.SHUTDOWN, 0)).join();
        expectedDiscarded = 2;
        assertThrows(SocketException.class, () -> { // a reset may overtake the answer to the request in flight
            assertEquals("E:58000 Z", client.readAnswer());
            client.readAnswer();
        });
    }

    /** Prevents startup messages without an end from taking more than their share: they are given up, with an error. */
    @Test void halfStartupsAreGivenUpWhileMemoryIsShort() throws Exception {
        JsonObject config = configuration();
        config.getAsJsonObject("limits").addProperty("memory_mb", 1);
        start(config, null);
        List<BlockingClient> clients = new ArrayList<>();
        while (counter("client.refused.partial") == 0) {
            clients.add(new BlockingClient(address));
            clients.get(clients.size() - 1).send(Unpooled.buffer().writeInt(10_000).writeZero(9_000));
            assertTrue(counter("client.partialbytes") <= (1 << 20) / 8);
            assertTrue(clients.size() < 100, "none is given up");
        }
        for (BlockingClient halfStartup : clients) {
            halfStartup.close();
        }
        assertEquals(0, counter("client.failed"));
    }
}
