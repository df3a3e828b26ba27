package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.internal.ThreadExecutorMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.core.CallOut;
import reedquay.core.Rpc;
import reedquay.pg.Messages;
import reedquay.route.Router;

/**
 * Tests timers that run before the event loop has read what arrived in the meantime, as they do when the process was
 * held up during a wait. Each test makes the event loop run such a timer right after the input has arrived.
 */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UnreadInputTest {
    private static final long TICK_MILLIS = 400;
    private static final long DEPARTURE_CHECK_NANOS = 1_000_000; // as in ClientSession
    private static final double CONNECT_TIMEOUT_MILLIS = 2000; // longer than a tick and the time around it

    private final StandIn standIn = new StandIn(0, 200, "one");
    private Gateway gateway;
    private InetSocketAddress address;

    private JsonObject configuration() throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
        JsonObject settings = config.getAsJsonObject("settings");
        settings.addProperty("Tick", (double) TICK_MILLIS);
        settings.getAsJsonObject("Allowed").addProperty("ConnectTimeout", CONNECT_TIMEOUT_MILLIS);
        return config;
    }

    private void start(JsonObject config, GatewayComponents components, MonotonicClock clock) {
        gateway = new Gateway(Configuration.parse(config.toString()), components, clock);
        address = gateway.start().join();
    }

    @AfterEach void stop() {
        gateway.stop().join();
        standIn.close();
    }

    /**
     * Called on the event loop: runs the task in place of a timer, followed by all timers that are due within the given
     * time; no socket is read in between.
     */
    private static void runBeforeTimersDueWithin(long millis, Task task) {
        startTimer(0, () -> {
            try {
                task.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        sleep(millis); // the due timers are taken together, before the first of them runs
    }

    private interface Task {
        void run() throws IOException;
    }

    /** Called on the event loop. */
    private static void startTimer(long delayNanos, Runnable task) {
        ThreadExecutorMap.currentExecutor().schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void awaitCounter(String name, long value) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (gateway.counters().join().getOrDefault(name, 0L) != value) {
            assertTrue(System.nanoTime() < end, name + " did not reach " + value);
            sleep(1);
        }
    }

    private static String write(int id, String value) {
        return "/* id=" + id + ",c=order,t=acme,d=3000,k=" + id + ",cluster=1 */ INSERT INTO facts (code, data) VALUES"
                + " ('a', '" + value + "') RETURNING data";
    }

    /**
     * Prevents serving the value of another client's statement, which happens when a second copy of an answer is still
     * unread at the end of the settling, and the connection carries the next statement at once.
     */
    @Test void secondCopyThatIsUnreadWhenTheSettlingEndsIsNotServed() throws Exception {
        start(configuration(), new GatewayComponents(Router::new, null), new MonotonicClock());
        StandIn.Server server = standIn.server("one");
        try (BlockingClient first = new BlockingClient(address).startup();
                BlockingClient second = new BlockingClient(address).startup()) {
            assertEquals("I Z", first.ask(""));
            assertEquals("T D:v1 C Z", first.ask(write(1, "v1")));
            server.fault = "mute"; // no further connection comes up: the next statement waits for the one that settles
            second.send(Messages.query(Unpooled.buffer(), write(2, "v2")));
            awaitCounter("callout", 2);
            gateway.runOnEventLoop(() -> runBeforeTimersDueWithin(TICK_MILLIS + 10, () -> {
                server.repeatLastAnswer();
                sleep(20);
            }));
            awaitCounter("member.breach", 1);
            server.fault = "";
            String answer = second.readAnswer();
            assertFalse(answer.contains("v1"), "served the value of the first client's statement: " + answer);
            assertEquals(1, gateway.counters().join().get("member.breach.unread"));
        }
    }

    /** Prevents the same by a copy that comes later, while the connection is idle, and is unread at its next use. */
    @Test void secondCopyThatIsUnreadWhenAnIdleConnectionIsUsedIsNotServed() throws Exception {
        ScriptedEngine[] engine = new ScriptedEngine[1];
        start(configuration(), new GatewayComponents((settings, actions) -> engine[0] = new ScriptedEngine(actions),
                null), new MonotonicClock());
        StandIn.Server server = standIn.server("one");
        try (BlockingClient first = new BlockingClient(address).startup();
                BlockingClient second = new BlockingClient(address).startup()) {
            first.send(Messages.query(Unpooled.buffer(), write(1, "v1")));
            awaitCounter("rpc.inhand", 1);
            while (engine[0].members.isEmpty()) {
                sleep(1);
            }
            gateway.runOnEventLoop(() -> sendHeld(engine[0], 0)).join();
            assertEquals("T D:v1 C Z", first.readAnswer());
            sleep(2 * TICK_MILLIS); // the connection is idle
            second.send(Messages.query(Unpooled.buffer(), write(2, "v2")));
            awaitCounter("rpc.inhand", 1);
            gateway.runOnEventLoop(() -> {
                server.repeatLastAnswer();
                sleep(20);
                sendHeld(engine[0], 1);
            }).join();
            assertEquals("T D:v2 C Z", second.readAnswer());
            awaitCounter("member.breach", 1);
        }
    }

    /** Called on the event loop: has the engine send a call-out for a held RPC. */
    private static void sendHeld(ScriptedEngine engine, int index) {
        engine.actions.sendCallOut(new CallOut(engine.held.get(index), engine.members.get(0).member(), 0), 0);
    }

    /**
     * Prevents an RPC for a client that has left, which happens when the client's connection waited to be accepted and
     * its end is still unread when that is checked.
     */
    @Test void clientWhoseEndIsUnreadAfterItWaitedToBeAcceptedGetsNoRpc() throws Exception {
        JsonObject config = configuration();
        config.getAsJsonObject("limits").addProperty("sockets", 80);
        AcceptHook clock = new AcceptHook();
        start(config, new GatewayComponents((settings, actions) -> new ScriptedEngine(actions), null), clock);
        List<BlockingClient> clients = new ArrayList<>();
        while (clients.size() < new Limits(80, 192).maxClients) {
            clients.add(new BlockingClient(address).startup());
            clients.get(clients.size() - 1).send(Messages.query(Unpooled.buffer(), write(clients.size(), "v")));
        }
        awaitCounter("rpc.taken", clients.size());
        BlockingClient waiting = new BlockingClient(address);
        waiting.send(Messages.startupMessage(Unpooled.buffer(), "portal", "crm"));
        waiting.send(Messages.query(Unpooled.buffer(), write(100, "v")));
        sleep(50);
        // timers that a timer starts run after the next poll of the sockets, in which the statement is read: the first
        // one lasts until the check of the client's end is due too, and the second one comes right before that check
        clock.onNextAccept = () -> startTimer(0, () -> {
            startTimer(0, () -> sleep(5));
            startTimer(DEPARTURE_CHECK_NANOS * 9 / 10, () -> {
                assertDoesNotThrow(waiting::close);
                sleep(20);
            });
        });
        clients.remove(0).close();
        awaitCounter("client.closed.client", 2);
        assertEquals(clients.size() + 1, gateway.counters().join().get("rpc.taken"));
        for (BlockingClient client : clients) {
            client.close();
        }
    }

    /**
     * Prevents a further call-out for a client that has left, which happens when the engine decides on it before the
     * client's end is read; it may have left while the gateway was held up.
     */
    @Test void clientWhoseEndIsUnreadGetsNoFurtherCallOut() throws Exception {
        ScriptedEngine[] engine = new ScriptedEngine[1];
        start(configuration(), new GatewayComponents((settings, actions) -> engine[0] = new ScriptedEngine(actions),
                null), new MonotonicClock());
        for (boolean leavesWhileTheConnectionOpens : new boolean[] {false, true}) {
            BlockingClient client = new BlockingClient(address).startup();
            client.send(Messages.query(Unpooled.buffer(), write(leavesWhileTheConnectionOpens ? 2 : 1, "v")));
            while (engine[0].members.isEmpty() || gateway.counters().join().get("rpc.inhand") == 0) {
                sleep(1);
            }
            Runnable leave = () -> assertDoesNotThrow(client::close);
            gateway.runOnEventLoop(() -> {
                engine[0].onConnectionReady = leave;
                engine[0].afterNextBatch = () -> {
                    Rpc rpc = engine[0].held.get(0);
                    CallOut callOut = new CallOut(rpc, engine[0].members.get(0).member(), 0);
                    if (leavesWhileTheConnectionOpens) {
                        engine[0].actions.sendCallOut(callOut, 0);
                        return;
                    }
                    leave.run();
                    engine[0].actions.sendCallOut(callOut, 0);
                    engine[0].actions.abort(rpc); // the engine does not know of the departure yet
                };
                engine[0].actions.scheduleWakeUp(0);
            }).join();
            awaitCounter("rpc.inhand", 0);
            awaitCounter("callout.NEVER_SENT", leavesWhileTheConnectionOpens ? 2 : 1);
            assertEquals(List.of(), standIn.server("one").statements);
        }
        assertEquals(0, gateway.counters().join().getOrDefault("rpc.aborted", 0L));
        assertEquals(0, gateway.counters().join().getOrDefault("broken.decision", 0L));
    }

    /**
     * Prevents call-outs for a client whose end could not be noticed: a statement behind which its client sends without
     * a pause does not start, and is pushed back.
     */
    @Test void statementOfAClientThatSendsWithoutAPauseIsPushedBack() throws Exception {
        start(configuration(), new GatewayComponents((settings, actions) -> new ScriptedEngine(actions), null),
                new SlowCatchUpClock());
        ByteBuf statements = Unpooled.buffer();
        for (int id = 1; statements.readableBytes() < 60_000; id++) { // several reads, and no more than a socket holds
            Messages.query(statements, write(id, "v"));
        }
        try (BlockingClient client = new BlockingClient(address).startup()) {
            gateway.runOnEventLoop(() -> assertDoesNotThrow(() -> client.send(statements))).join();
            assertTrue(client.readAnswer().startsWith("E:53300"));
            assertTrue(gateway.counters().join().get("client.heldback.input") > 0);
        }
    }

    /** A clock by which the limit on catching up with a client's input is over at the first look. */
    private static final class SlowCatchUpClock extends MonotonicClock {
        private static final long LONGER_THAN_THE_LIMIT_NANOS = 60_000_000;

        @Override public long now() {
            boolean catchesUp = StackWalker.getInstance().walk(
                    frames -> frames.limit(3).anyMatch(frame -> frame.getMethodName().equals("catchUp")));
            return super.now() + (catchesUp ? LONGER_THAN_THE_LIMIT_NANOS : 0);
        }
    }

    /** A clock that runs a task once, when the gateway accepts a connection. */
    private static final class AcceptHook extends MonotonicClock {
        volatile Runnable onNextAccept;

        @Override public long now() {
            Runnable task = onNextAccept;
            if (task != null && StackWalker.getInstance().walk(
                    frames -> frames.anyMatch(frame -> frame.getMethodName().equals("channelActive")))) {
                onNextAccept = null;
                task.run();
            }
            return super.now();
        }
    }
}
