package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a gateway in which a step of the sweep fails. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SweepFailureTest {
    /** Prevents the end of all timeouts, which happens when one step of one sweep fails and no sweep follows. */
    @Test void failedStepEndsNoSweep() throws Exception {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:9"); // nothing listens there
        AtomicInteger failuresLeft = new AtomicInteger();
        MonotonicClock clock = new MonotonicClock(System::nanoTime, () -> {
            if (failuresLeft.getAndDecrement() > 0) {
                throw new NoClassDefFoundError("no descriptor left to load a class");
            }
            return System.currentTimeMillis() * 1_000_000;
        });
        Gateway gateway = new Gateway(Configuration.parse(config.toString()),
                new GatewayComponents((settings, actions) -> new ScriptedEngine(actions), null), clock);
        try (BlockingClient silent = new BlockingClient(gateway.start().join())) {
            failuresLeft.set(1);
            silent.socket.setSoTimeout(4_000);
            assertEquals("closed", silent.readAnswer());
            assertEquals(1, gateway.counters().join().get("broken.step"));
        } finally {
            gateway.halt();
        }
    }
}
