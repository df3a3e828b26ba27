package reedquay.memory;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class StatementMemoryTest {
    private static final long MAX_BYTES = 1200;
    private static final int QUEUED = -1;

    /** The plain model: all that is held, summed anew for each question; group QUEUED for what waits. */
    private record Held(int group, String tenant, long bytes) { }

    private static boolean fits(List<Held> model, Held added) {
        List<Held> after = new ArrayList<>(model);
        after.add(added);
        long free = MAX_BYTES - after.stream().mapToLong(Held::bytes).sum();
        long group = after.stream().filter(h -> h.group == added.group).mapToLong(Held::bytes).sum();
        long tenant = after.stream().filter(h -> h.group == added.group && h.tenant.equals(added.tenant))
                .mapToLong(Held::bytes).sum();
        return group <= free && tenant <= free - group; // of what waits, the tenant stands for the client
    }

    private static boolean queue(StatementMemory memory, List<Held> model, Held added) {
        long clientBytes = model.stream().filter(h -> h.group == QUEUED && h.tenant.equals(added.tenant))
                .mapToLong(Held::bytes).sum();
        boolean mayQueue = memory.mayQueue(clientBytes, added.bytes);
        if (mayQueue) {
            memory.queue(added.bytes);
        }
        return mayQueue;
    }

    @Test void admitsAsThePlainModelDoes() {
        SplittableRandom random = new SplittableRandom(1);
        StatementMemory memory = new StatementMemory(MAX_BYTES);
        List<Held> model = new ArrayList<>();
        int refused = 0;
        for (int step = 0; step < 200_000; step++) {
            if (!model.isEmpty() && random.nextInt(100) < 45) {
                Held gone = model.remove(random.nextInt(model.size()));
                if (gone.group == QUEUED) {
                    memory.releaseQueued(gone.bytes);
                } else {
                    memory.release(gone.group, gone.tenant, gone.bytes);
                }
                continue;
            }
            Held added = new Held(random.nextInt(4) - 1, "t" + random.nextInt(3), 1 + random.nextInt(60));
            boolean expected = fits(model, added);
            assertEquals(expected, added.group == QUEUED ? queue(memory, model, added)
                    : memory.tryHold(added.group, added.tenant, added.bytes));
            if (expected) {
                model.add(added);
            } else {
                refused++;
            }
            assertEquals(model.stream().mapToLong(Held::bytes).sum(), memory.totalBytes());
        }
        assertTrue(refused > 10_000, "only " + refused + " refusals were compared");
    }

    /** Prevents that a group in trouble takes the memory that the others need. */
    @Test void halfOfTheMemoryStaysFreeForOthersBesideOneGroupInTrouble() {
        StatementMemory memory = new StatementMemory(MAX_BYTES);
        int tenant = 0;
        while (memory.tryHold(1, "t" + tenant++, 10)) { }
        assertTrue(memory.totalBytes() <= MAX_BYTES / 2, memory.totalBytes() + " bytes are held");
        assertTrue(memory.totalBytes() > MAX_BYTES / 3, "what others do not use is lent");
        assertTrue(memory.tryHold(2, "t0", MAX_BYTES / 8));
    }
}
