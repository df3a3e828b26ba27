package reedquay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
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

    /**
     * Prevents an older configuration from staying in force, which happens when two signals in quick succession are
     * handled at once and the one that read the file first applies it last.
     */
    @Test void requestsDuringARunAreFollowedByOneMoreRunAfterIt() throws InterruptedException {
        AtomicInteger file = new AtomicInteger(1);
        List<Integer> applied = new CopyOnWriteArrayList<>();
        CountDownLatch firstHasRead = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        DeferredAction action = new DeferredAction();
        action.enable(() -> {
            int content = file.get();
            firstHasRead.countDown();
            awaitUnchecked(goOn);
            applied.add(content);
        });
        Thread first = new Thread(action::request);
        first.start();
        firstHasRead.await();
        file.set(2);
        List<Thread> others = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            others.add(new Thread(action::request));
            others.get(i).start();
        }
        for (Thread other : others) {
            other.join(5_000);
            assertFalse(other.isAlive(), "a request during a run does not wait for it");
        }
        goOn.countDown();
        first.join();
        assertEquals(List.of(1, 2), applied);
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
