package reedquay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.ConsoleHandler;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class DeferredActionTest {
    /** Guards against a start that ends, or forgets, what a signal asked for before there was a gateway. */
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

    /** Guards the lines of a stop: the JVM's logging takes its handlers away while RPCs are still answered. */
    @Test void handlersSurviveTheReset() {
        PersistentLogManager manager = new PersistentLogManager();
        Logger logger = new Logger("kept", null) { };
        logger.addHandler(new ConsoleHandler());
        manager.addLogger(logger);
        manager.reset();
        assertEquals(1, logger.getHandlers().length);
    }
}
