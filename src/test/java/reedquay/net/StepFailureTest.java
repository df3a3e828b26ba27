package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.internal.ThreadExecutorMap;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a gateway in which a step of the start or the sweep fails. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StepFailureTest {
    /** Prevents the end of all timeouts, which happens when one step of one sweep fails and no sweep follows. */
    @Test void failedStepEndsNoSweep() throws Exception {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:9"); // nothing listens there
        Gateway gateway = new Gateway(Configuration.parse(config.toString()),
                new GatewayComponents((settings, actions) -> new ScriptedEngine(actions), null));
        InetSocketAddress address = gateway.start().join();
        gateway.runOnEventLoop(() -> gateway.whenReady(() -> {
            throw new NoClassDefFoundError("no descriptor left to load a class");
        })).join();
        Thread.sleep(1_000); // without discovery the sweep runs the callback 2 s after the start
        try (BlockingClient silent = new BlockingClient(address)) {
            silent.socket.setSoTimeout(4_000); // it is closed 2 s after connecting
            assertEquals("closed", silent.readAnswer());
            assertEquals(1, gateway.counters().join().get("broken.step"));
        } finally {
            gateway.halt();
        }
    }

    /** Prevents an end that looks like a requested one, which happens when the event loop itself has failed. */
    @Test void failedEventLoopIsNoOrderlyStop() throws Exception {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:9");
        Gateway gateway = new Gateway(Configuration.parse(config.toString()));
        gateway.start().join();
        assertFalse(gateway.hasFailed());
        gateway.runOnEventLoop(() -> ((EventExecutor) ThreadExecutorMap.currentExecutor())
                .shutdownGracefully(0, 0, TimeUnit.SECONDS)).join();
        gateway.stop().get(5, TimeUnit.SECONDS);
        assertTrue(gateway.hasFailed());
    }

    /** Prevents a failed start, which happens when the address or a socket is not free at the first attempt. */
    @Test void startWaitsForItsAddress() throws Exception {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("discovery", "127.0.0.1:9");
        Gateway gateway;
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            config.addProperty("listen", "127.0.0.1:" + taken.getLocalPort());
            gateway = new Gateway(Configuration.parse(config.toString()));
            var started = gateway.start();
            Thread.sleep(300);
            assertFalse(started.isDone());
            taken.close();
            assertEquals(taken.getLocalPort(), started.join().getPort());
        }
        gateway.halt();
    }
}
