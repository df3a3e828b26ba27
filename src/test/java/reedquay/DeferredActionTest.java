package reedquay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.ConsoleHandler;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** Tests that reload signals before the start and log lines during a shutdown are not lost. */
class DeferredActionTest {
    /**
     * Prevents a signal that asks for a reload before the gateway runs from ending the process or being lost: the
     * reload runs once the start is complete.
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
     * Prevents the loss of lines logged during a shutdown, which happens when the shutdown hook of the JVM's logging
     * resets the log manager while the gateway still answers RPCs.
     */
    @Test void handlersSurviveTheReset() {
        PersistentLogManager manager = new PersistentLogManager();
        Logger logger = new Logger("test", null) { };
        logger.addHandler(new ConsoleHandler());
        manager.addLogger(logger);
        manager.reset();
        assertEquals(1, logger.getHandlers().length);
    }
}
