package reedquay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.ConsoleHandler;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class DeferredActionTest {
    /**
     * A signal that asks for a reload before the gateway runs must neither end the process nor be lost: the reload runs
     * once the start is complete.
     */
    @Test void requestsBeforeEnablingRunOnceWhenEnabled() {
        AtomicInteger runs = new AtomicInteger();
        DeferredAction action = new DeferredAction();
        action.request();
        action.request();
        assertEquals(0, runs.get());
        action.enable(runs::incrementAndGet);
        assertEquals(1, runs.get());
        action.request();
        assertEquals(2, runs.get());
    }

    /**
     * Lines logged during a shutdown must not be lost: the shutdown hook of the JVM's logging resets the log manager
     * while the gateway still answers RPCs.
     */
    @Test void handlersSurviveTheReset() {
        PersistentLogManager manager = new PersistentLogManager();
        Logger logger = new Logger("kept", null) { };
        logger.addHandler(new ConsoleHandler());
        manager.addLogger(logger);
        manager.reset();
        assertEquals(1, logger.getHandlers().length);
    }
}
