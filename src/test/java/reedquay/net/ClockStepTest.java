package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.pg.Messages;
import reedquay.route.Router;

/** Tests a gateway whose machine's wall clock is stepped while its monotonic clock runs on. */
@Timeout(value = 40, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClockStepTest {
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long TOLERANCE_MILLIS = 50;

    /** Prevents answers that come too early or too late, which happens when deadlines follow a step of the clock. */
    @Test void stepsOfTheWallClockMoveNoDeadline() throws IOException {
        for (Duration step : new Duration[] {Duration.ofHours(1), Duration.ofHours(-1), Duration.ofSeconds(5),
            Duration.ofSeconds(-5)}) {
            AtomicLong stepNanos = new AtomicLong();
            MonotonicClock clock = new MonotonicClock(System::nanoTime,
                    () -> System.currentTimeMillis() * 1_000_000 + stepNanos.get());
            try (StandIn standIn = new StandIn(0, 200, "one", "two", "three")) {
                JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json")))
                        .getAsJsonObject();
                config.addProperty("listen", "127.0.0.1:0");
                config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
                Gateway gateway = new Gateway(Configuration.parse(config.toString()),
                        new GatewayComponents(Router::new, null), clock);
                try (BlockingClient client = new BlockingClient(gateway.start().join()).startup()) {
                    assertEquals("I Z", client.ask(""));
                    standIn.server("one").fault = "silent";
                    long sentAt = System.nanoTime();
                    client.send(Messages.query(Unpooled.buffer(), "/* id=1a,c=order,t=acme,d=" + DEADLINE_MILLIS
                            + ",k=1,cluster=1 */ INSERT INTO facts (code, data) VALUES ('k', 'v') RETURNING data"));
                    gateway.runOnEventLoop(() -> { }).join(); // the RPC has been read
                    stepNanos.set(step.toNanos());
                    assertEquals("E:58000 Z", client.readAnswer());
                    long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
                    assertTrue(Math.abs(tookMillis - DEADLINE_MILLIS) < TOLERANCE_MILLIS,
                            "answered after " + tookMillis + " ms at a step of " + step);
                } finally {
                    gateway.halt();
                }
            }
        }
    }
}
