package reedquay.route;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests what is remembered of RPCs and members after their end, each beside a plain model that forgets nothing. */
class RememberedRpcsTest {
    /** Prevents a heap that grows with each session that writes; what is forgotten makes no read too old. */
    @Test void sessionWritesAreBoundedAndNeverTooEarly() {
        SplittableRandom random = new SplittableRandom(48);
        int remembered = 100;
        SessionWrites writes = new SessionWrites(remembered);
        Map<String, Long> model = new HashMap<>();
        List<String> newestLast = new ArrayList<>();
        for (long now = 0; now < 100_000; now++) {
            String written = "s" + random.nextInt(now % 20_000 < 10_000 ? 80 : 5_000);
            writes.written(written, now);
            model.put(written, now);
            newestLast.remove(written);
            newestLast.add(written);
            String asked = "s" + random.nextInt(6_000);
            long truth = model.getOrDefault(asked, SessionWrites.NO_WRITE);
            assertTrue(writes.lastWrite(asked) >= truth, asked + " reads data that is too old");
            boolean isRecent = newestLast.lastIndexOf(asked) >= newestLast.size() - remembered;
            assertTrue(!isRecent || writes.lastWrite(asked) == truth, asked + " is remembered exactly");
            if (newestLast.size() > 10_000) {
                newestLast.subList(0, 5_000).clear();
            }
        }
        SessionWrites unused = new SessionWrites(remembered);
        assertEquals(SessionWrites.NO_WRITE, unused.lastWrite("s1"));
    }

    /** Prevents a second run of a write whose id comes again, and a heap that grows with each write. */
    @Test void possiblyRunIdsAreKnownForTheirTimeAndBounded() {
        SplittableRandom random = new SplittableRandom(48);
        int maxIds = 50;
        long duration = 400;
        PossiblyRunIds ids = new PossiblyRunIds(maxIds, duration);
        List<long[]> model = new ArrayList<>(); // id and time, oldest first
        for (long now = 0; now < 100_000; now++) {
            long time = now;
            if (random.nextInt(now % 10_000 < 5_000 ? 3 : 30) == 0) {
                long added = random.nextInt(200);
                ids.add(added, now);
                model.removeIf(entry -> entry[0] == added);
                model.add(new long[] {added, now});
                model.removeIf(entry -> time - entry[1] >= duration);
                while (model.size() > maxIds) {
                    model.remove(0);
                }
                assertEquals(model.size(), ids.size());
            }
            long asked = random.nextInt(200);
            boolean isKnown = model.stream().anyMatch(e -> e[0] == asked && time - e[1] < duration);
            assertEquals(isKnown, ids.contains(asked, now));
        }
    }

    /** Prevents a heap that grows with each member that is replaced; what is forgotten makes no former primary one. */
    @Test void removedReplicasAreBoundedAndNeverUnknownAgain() {
        SplittableRandom random = new SplittableRandom(54);
        int maxMembers = 60;
        RemovedReplicas replicas = new RemovedReplicas(maxMembers);
        Map<String, Long> model = new HashMap<>(); // report times of all that are removed, by group and id
        List<String> newestLast = new ArrayList<>();
        for (long now = 1; now < 100_000; now++) {
            int group = random.nextInt(3);
            String id = "m" + random.nextInt(now % 20_000 < 10_000 ? 15 : 2_000);
            String key = group + "/" + id;
            if (random.nextBoolean()) {
                replicas.removed(group, id, now);
                model.put(key, now);
                newestLast.remove(key);
                newestLast.add(key);
                if (newestLast.size() > maxMembers) {
                    newestLast.remove(0);
                }
                continue;
            }
            long reportedAt = replicas.listed(group, id);
            Long truth = model.remove(key);
            boolean isRecent = newestLast.remove(key);
            assertTrue(truth == null || reportedAt != RemovedReplicas.NO_REPORT, key + " counts as a replica");
            assertTrue(truth == null || !isRecent || reportedAt == truth, key + " is remembered exactly");
        }
        RemovedReplicas unused = new RemovedReplicas(maxMembers);
        assertEquals(RemovedReplicas.NO_REPORT, unused.listed(1, "m1"));
    }
}
