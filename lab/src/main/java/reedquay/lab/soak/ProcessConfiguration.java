package reedquay.lab.soak;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** The configuration of a gateway process of the lab. */
public final class ProcessConfiguration {
    private static final int GATEWAY_PORT = 6_543;
    /** Runs of one process have different addresses, on which no port is chosen by the system. */
    private static final AtomicInteger RUNS = new AtomicInteger();

    private ProcessConfiguration() { }

    /** The example's configuration below the project's root, with this stand-in and an address of its own. */
    public static JsonObject create(Path root, StandIn standIn) throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(root.resolve("example/config.json")))
                .getAsJsonObject();
        int run = RUNS.incrementAndGet();
        config.addProperty("listen", "127.78." + (ProcessHandle.current().pid() % 250) + "." + (1 + run % 250) + ":"
                + GATEWAY_PORT);
        config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
        return config;
    }
}
