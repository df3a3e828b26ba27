package reedquay.memory;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BufferReservationsTest {
    private static final int MAX_BYTES = 1000;

    /** The plain model: a list of messages, searched anew for each question. */
    private record Message(int owner, long bytes, long since) { }

    private static Integer expectedRejection(List<Message> messages) {
        if (messages.stream().mapToLong(Message::bytes).sum() <= MAX_BYTES) {
            return null;
        }
        long largest = messages.stream().mapToLong(Message::bytes).max().getAsLong();
        int digits = Long.toBinaryString(largest).length();
        return messages.stream().filter(m -> Long.toBinaryString(m.bytes).length() == digits)
                .min(Comparator.comparingLong(Message::since)).get().owner;
    }

    @Test void rejectsAsThePlainModelDoes() {
        SplittableRandom random = new SplittableRandom(1);
        BufferReservations<Integer> account = new BufferReservations<>(MAX_BYTES);
        List<Message> model = new ArrayList<>();
        int rejections = 0;
        for (int step = 0; step < 100_000; step++) {
            int owner = random.nextInt(40);
            long bytes = random.nextInt(4) == 0 ? 0 : 1L + random.nextInt(1 << random.nextInt(9));
            long since = model.stream().filter(m -> m.owner == owner).mapToLong(Message::since).findFirst()
                    .orElse(step);
            model.removeIf(m -> m.owner == owner);
            if (bytes > 0) {
                model.add(new Message(owner, bytes, since));
            }
            account.setReserved(owner, bytes, step);
            assertEquals(model.stream().mapToLong(Message::bytes).sum(), account.totalBytes());
            Integer rejected = account.ownerToRelease();
            assertEquals(expectedRejection(model), rejected);
            if (rejected != null) {
                rejections++;
                model.removeIf(m -> m.owner == rejected);
                account.setReserved(rejected, 0, step);
            }
        }
        assertTrue(rejections > 1000, "only " + rejections + " rejections were compared");
    }
}
