package reedquay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class AskedTest {
    /** Guards against a start that ends, or forgets, what a signal asked for before there was a gateway. */
    @Test void whatIsAskedForDuringAStartIsDoneOnceItIsOver() {
        AtomicInteger done = new AtomicInteger();
        Asked asked = new Asked();
        asked.ask();
        asked.ask();
        assertEquals(0, done.get());
        asked.ready(done::incrementAndGet);
        assertEquals(1, done.get());
        asked.ask();
        assertEquals(2, done.get());
    }
}
