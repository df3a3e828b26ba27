package reedquay.pg;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ClientInputTest {
    private static final int MAX_LENGTH = 9_000;
    private static final int RUNS = 300;
    private static final String TYPES = "QQQQQQSHPd";

    private static ByteBuf randomStream(SplittableRandom random) {
        ByteBuf stream = Messages.startupMessage(Unpooled.buffer(), "portal", "crm");
        int terminateAt = random.nextInt(100);
        for (int i = 0; i < 40; i++) {
            int bodyBytes = random.nextInt(4) == 0 ? random.nextInt(3_000) : random.nextInt(12);
            stream.writeByte(i == terminateAt ? 'X' : TYPES.charAt(random.nextInt(TYPES.length())))
                    .writeInt(4 + bodyBytes).writeZero(bodyBytes);
        }
        return random.nextInt(3) > 0 ? stream : stream.writeByte(random.nextBoolean() ? '~' : 'Q').writeInt(-1);
    }

    /** The messages as the streaming decoder splits them, each as its type and length. */
    private static List<String> expected(ByteBuf stream) {
        EmbeddedChannel channel = new EmbeddedChannel(FrameDecoder.forClient(MAX_LENGTH));
        List<String> messages = new ArrayList<>();
        try {
            channel.writeInbound(stream.copy());
        } catch (CorruptedFrameException e) {
            messages.add("malformed");
        }
        for (Frame frame = channel.readInbound(); frame != null; frame = channel.readInbound()) {
            messages.add(messages.contains("malformed") ? messages.size() - 1 : messages.size(), describe(frame));
        }
        channel.finishAndReleaseAll();
        return messages;
    }

    private static String describe(Frame frame) {
        String text = (char) frame.type + ":" + frame.bodyLength();
        frame.release();
        return text;
    }

    /** Adds a part, after refusing further messages if asked to; returns whether the input is well-formed. */
    private static boolean add(ClientInput input, ByteBuf part, boolean refuse) {
        try {
            if (refuse) {
                input.refuseFurther();
            }
        } catch (CorruptedFrameException e) {
            part.release();
            return false;
        }
        try {
            input.add(part);
            return true;
        } catch (CorruptedFrameException e) {
            return false;
        }
    }

    /** Takes what is complete, up to a number of messages; returns whether the input is malformed. */
    private static boolean take(ClientInput input, List<String> messages, int most) {
        try {
            for (int i = 0; i < most && input.hasMessage(); i++) {
                messages.add(describe(input.next()));
            }
            return false;
        } catch (CorruptedFrameException e) {
            messages.add("malformed");
            return true;
        }
    }

    @Test void splitsAsTheStreamingDecoderDoesInPiecesOfAnySize() {
        SplittableRandom random = new SplittableRandom(48);
        for (int run = 0; run < RUNS; run++) {
            ByteBuf stream = randomStream(random);
            List<String> expected = expected(stream);
            ClientInput input = new ClientInput(MAX_LENGTH);
            List<String> messages = new ArrayList<>();
            boolean malformed = false;
            while (!malformed && stream.isReadable()) {
                int bytes = Math.min(stream.readableBytes(), 1 + random.nextInt(run % 2 == 0 ? 200 : 4_000));
                input.add(ByteBufAllocator.DEFAULT.buffer(bytes).writeBytes(stream, bytes));
                malformed = take(input, messages, random.nextInt(5));
            }
            if (!malformed) {
                take(input, messages, Integer.MAX_VALUE);
            }
            assertEquals(expected, messages);
            input.clear();
            assertEquals(0, input.reservedBytes());
            stream.release();
        }
    }

    /** Prevents a message without its answer, or an answer without a message, where further messages are refused. */
    @Test void countsEveryRefusedMessageOnce() {
        SplittableRandom random = new SplittableRandom(49);
        long refusedInAll = 0;
        for (int run = 0; run < RUNS; run++) {
            ByteBuf stream = randomStream(random);
            List<String> expected = expected(stream);
            ClientInput input = new ClientInput(MAX_LENGTH);
            List<String> messages = new ArrayList<>();
            long refused = 0;
            boolean malformed = false;
            while (!malformed && stream.isReadable()) {
                int bytes = Math.min(stream.readableBytes(), 1 + random.nextInt(600));
                ByteBuf part = ByteBufAllocator.DEFAULT.buffer(bytes).writeBytes(stream, bytes);
                malformed = !add(input, part, random.nextInt(8) == 0) || take(input, messages, random.nextInt(4));
                while (!malformed && !input.hasMessage() && input.refusedMessages() > 0) {
                    input.refusedAnswered();
                    refused++;
                }
            }
            input.discardFurther();
            take(input, messages, Integer.MAX_VALUE);
            refused += input.refusedMessages();
            int end = expected.indexOf("malformed") >= 0 ? expected.indexOf("malformed") : expected.size();
            for (int i = 0; i < end; i++) { // a refused Terminate ends the stream
                if (expected.get(i).startsWith("X") && !messages.contains(expected.get(i))) {
                    end = i;
                }
            }
            long owed = expected.subList(0, end).stream().filter(m -> m.startsWith("Q") || m.startsWith("S")).count();
            long kept = messages.stream().limit(end).filter(m -> m.startsWith("Q") || m.startsWith("S")).count();
            assertEquals(owed, kept + refused, "run " + run);
            refusedInAll += refused;
            input.clear();
            stream.release();
        }
        assertTrue(refusedInAll > 1_000, "only " + refusedInAll + " messages were refused");
    }

    /** Prevents the end of the heap, which happens when each short message that waits is an object. */
    @Test void shortMessagesTakeNoMoreThanTheirBytes() {
        ClientInput input = new ClientInput(MAX_LENGTH);
        ByteBuf stream = Messages.startupMessage(Unpooled.buffer(), "portal", "crm");
        for (int i = 0; i < 10_000; i++) {
            Messages.query(stream, "");
        }
        int bytes = stream.readableBytes();
        while (stream.isReadable()) {
            int part = Math.min(stream.readableBytes(), 1_000);
            input.add(ByteBufAllocator.DEFAULT.buffer(part).writeBytes(stream, part));
        }
        assertEquals(bytes, input.bytes());
        assertTrue(input.reservedBytes() <= 2 * bytes, input.reservedBytes() + " bytes for " + bytes);
        input.clear();
        stream.release();
    }

    /** Prevents endless work for requests that need no startup message. */
    @Test void moreRequestsForEncryptionThanThereAreKindsAreMalformed() {
        ClientInput input = new ClientInput(MAX_LENGTH);
        ByteBuf requests = ByteBufAllocator.DEFAULT.buffer();
        for (int i = 0; i < 3; i++) {
            requests.writeInt(8).writeInt(i == 1 ? Frame.GSS_ENCRYPTION_REQUEST : Frame.SSL_REQUEST);
        }
        input.add(requests);
        input.next().release();
        input.next().release();
        assertThrows(CorruptedFrameException.class, input::next);
        input.clear();
    }

    /** Prevents that a message that waits is noted twice or never, whatever is read, taken and refused meanwhile. */
    @Test void visitsEachMessageOnceWhileItWaits() {
        SplittableRandom random = new SplittableRandom(50);
        for (int run = 0; run < RUNS; run++) {
            ByteBuf stream = randomStream(random);
            ClientInput input = new ClientInput(MAX_LENGTH);
            List<String> waiting = new ArrayList<>();
            boolean malformed = false;
            while (!malformed && stream.isReadable()) {
                int bytes = Math.min(stream.readableBytes(), 1 + random.nextInt(run % 2 == 0 ? 200 : 4_000));
                boolean refuse = random.nextInt(8) == 0;
                malformed = !add(input, ByteBufAllocator.DEFAULT.buffer(bytes).writeBytes(stream, bytes), refuse);
                input.visitNew((type, buffer, start, end) -> waiting.add((char) type + ":" + (end - start)));
                List<String> visited = new ArrayList<>();
                input.visitWaiting((type, buffer, start, end) -> visited.add((char) type + ":" + (end - start)));
                assertEquals(waiting, visited);
                for (int i = random.nextInt(5); i > 0 && !malformed; i--) {
                    List<String> taken = new ArrayList<>();
                    malformed = take(input, taken, 1);
                    taken.stream().filter(message -> message.charAt(0) != Frame.UNTYPED && !message.equals("malformed"))
                            .forEach(message -> assertEquals(waiting.remove(0), message));
                    input.visitNew((type, buffer, start, end) -> waiting.add((char) type + ":" + (end - start)));
                }
                input.trim();
                assertTrue(input.reservedBytes() <= Math.max(4_096, 4 * (input.bytes() + 1)), "most of it is kept");
            }
            input.clear();
            stream.release();
        }
    }

    /** Prevents a long turn of the event loop at the end of a session that has very many messages waiting. */
    @Test void dropsAllMessagesAndCountsTheFirstOnes() {
        ClientInput input = new ClientInput(MAX_LENGTH);
        input.add(Messages.startupMessage(ByteBufAllocator.DEFAULT.buffer(), "portal", "crm"));
        input.next().release();
        ByteBuf many = ByteBufAllocator.DEFAULT.buffer();
        for (int i = 0; i < 3_000; i++) {
            many.writeByte('Q').writeInt(4);
        }
        input.add(many);
        assertEquals(1_000, input.dropMessages());
        assertFalse(input.hasMessage());
        assertEquals(0, input.reservedBytes());
    }
}
