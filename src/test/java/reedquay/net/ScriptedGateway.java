package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import reedquay.core.RoutingEngine;

/**
 * What tests with a scripted engine share: a gateway whose RPCs are answered when the test says so. After each test the
 * gateway stops, and no request may have been lost, but by the test itself, and no id may be open.
 */
abstract class ScriptedGateway {
    ScriptedEngine engine;
    Gateway gateway;
    InetSocketAddress address;
    int nextId = 0x1000;
    long expectedDiscarded; // statements that the test itself has thrown away

    static JsonObject configuration() throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:9"); // nothing listens there
        return config;
    }

    void start(JsonObject config, ClientIdentifier identifier) {
        gateway = new Gateway(Configuration.parse(config.toString()),
                new GatewayComponents((settings, actions) -> newEngine(new ScriptedEngine(actions)), identifier));
        address = gateway.start().join();
    }

    private RoutingEngine newEngine(ScriptedEngine newEngine) {
        engine = newEngine;
        return newEngine;
    }

    @AfterEach void stop() {
        gateway.stop().join();
        assertEquals(expectedDiscarded > 0 ? 1 : 0, counter("client.closed.owing"));
        assertEquals(expectedDiscarded, counter("client.discarded"));
        assertEquals(0, counter("rpc.open"));
    }

    long counter(String name) {
        return gateway.counters().join().getOrDefault(name, 0L);
    }

    void awaitCounter(String name, long least) throws InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(15); counter(name) < least; ) {
            assertTrue(System.nanoTime() < end, name + " did not reach " + least);
            Thread.sleep(1);
        }
    }

    BlockingClient connect() throws IOException {
        return new BlockingClient(address).startup();
    }

    void awaitHeld(int count) throws InterruptedException {
        int[] held = {-1};
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(15); held[0] != count; ) {
            assertTrue(System.nanoTime() < end, held[0] + " RPCs are held instead of " + count);
            gateway.runOnEventLoop(() -> held[0] = engine.held.size()).join();
            Thread.sleep(2);
        }
    }
}
