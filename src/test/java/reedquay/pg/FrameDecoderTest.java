package reedquay.pg;

import static org.junit.jupiter.api.Assertions.*;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests how the decoder splits a byte stream into messages, and that messages are encoded and read alike. */
class FrameDecoderTest {
    /** Decodes a stream that arrives in chunks of the given size; each frame as its type and its bytes in hex. */
    private static List<String> decode(EmbeddedChannel channel, ByteBuf stream, int chunkBytes) {
        List<String> frames = new ArrayList<>();
        while (stream.isReadable()) {
            channel.writeInbound(stream.readRetainedSlice(Math.min(chunkBytes, stream.readableBytes())));
            for (Frame frame = channel.readInbound(); frame != null; frame = channel.readInbound()) {
                frames.add((char) frame.type + ByteBufUtil.hexDump(frame.content()));
                assertEquals(frame.content().readableBytes(),
                        frame.bodyLength() + (frame.type == Frame.UNTYPED ? 4 : 5));
                frame.release();
            }
        }
        stream.release();
        channel.finishAndReleaseAll();
        return frames;
    }

    /** However the network splits the stream, the same messages are decoded, with the bytes that were sent. */
    @Test void messagesAreTheSameHoweverTheStreamIsSplit() {
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < 6; round++) {
            ByteBuf stream = Messages.startupMessage(Unpooled.buffer(), "portal", "crm");
            List<String> expected = new ArrayList<>(List.of("\0" + ByteBufUtil.hexDump(stream)));
            for (int i = 0; i < 20; i++) {
                int start = stream.writerIndex();
                switch (random.nextInt(4)) {
                    case 0 -> Messages.query(stream, "SELECT " + "x".repeat(random.nextInt(3000)));
                    case 1 -> Messages.query(stream, "");
                    case 2 -> stream.writeByte('S').writeInt(4);
                    default -> Messages.commandComplete(stream, "ä".repeat(random.nextInt(20)));
                }
                expected.add((char) stream.getByte(start)
                        + ByteBufUtil.hexDump(stream, start, stream.writerIndex() - start));
            }
            for (int chunkBytes : new int[] {1, 7, 1 + random.nextInt(900), stream.readableBytes()}) {
                assertEquals(expected,
                        decode(new EmbeddedChannel(FrameDecoder.forClient(9000)), stream.copy(), chunkBytes));
            }
            stream.release();
        }
    }

    @Test void encryptionRequestsMayComeBeforeTheStartupMessage() {
        ByteBuf stream = Unpooled.buffer().writeInt(8).writeInt(Frame.SSL_REQUEST).writeInt(8)
                .writeInt(Frame.GSS_ENCRYPTION_REQUEST);
        Messages.query(Messages.startupMessage(stream, "u", "d"), "SELECT 1");
        assertEquals(4, decode(new EmbeddedChannel(FrameDecoder.forClient(99)), stream, 3).size());
    }

    @Test void invalidLengthsAndTypesEndTheStream() {
        ByteBuf[] invalidStreams = {Unpooled.buffer().writeInt(3), Unpooled.buffer().writeInt(-1),
            Unpooled.buffer().writeInt(20_000),
            Messages.startupMessage(Unpooled.buffer(), "u", "d").writeByte('Q').writeInt(3),
            Messages.startupMessage(Unpooled.buffer(), "u", "d").writeByte('Q').writeInt(1 << 30),
            Messages.startupMessage(Unpooled.buffer(), "u", "d").writeByte('?').writeInt(4)};
        for (ByteBuf stream : invalidStreams) {
            stream.writeZero(8);
            EmbeddedChannel channel = new EmbeddedChannel(FrameDecoder.forClient(9000));
            assertThrows(CorruptedFrameException.class, () -> channel.writeInbound(stream));
            channel.writeInbound(Messages.query(Unpooled.buffer(), "after"));
            List<Integer> types = new ArrayList<>();
            for (Frame frame = channel.readInbound(); frame != null; frame = channel.readInbound()) {
                types.add((int) frame.type);
                frame.release();
            }
            assertFalse(types.contains((int) 'Q'), "messages after a malformed one are discarded");
            channel.finishAndReleaseAll();
        }
    }

    /** Random bytes decode to the same result wherever the stream is split: messages, errors and decoder state. */
    @Test void randomBytesDecodeTheSameHoweverTheyAreSplit() {
        SplittableRandom random = new SplittableRandom(12);
        for (int round = 0; round < 200; round++) {
            boolean fromClient = random.nextBoolean();
            byte[] bytes = new byte[40 + random.nextInt(60)];
            random.nextBytes(bytes);
            ByteBuf stream = fromClient ? Messages.startupMessage(Unpooled.buffer(), "u", "d") : Unpooled.buffer();
            if (random.nextBoolean()) {
                stream.writeByte("QDTEZ".charAt(random.nextInt(5))).writeInt(4 + random.nextInt(30));
            }
            stream.writeBytes(bytes);
            String expected = null;
            for (int splitAt = 0; splitAt <= stream.readableBytes(); splitAt++) {
                FrameDecoder decoder = fromClient ? FrameDecoder.forClient(9000) : FrameDecoder.forServer(9000);
                EmbeddedChannel channel = new EmbeddedChannel(decoder);
                StringBuilder result = new StringBuilder();
                for (ByteBuf part : List.of(stream.copy(0, splitAt),
                        stream.copy(splitAt, stream.readableBytes() - splitAt))) {
                    try {
                        channel.writeInbound(part);
                    } catch (CorruptedFrameException e) {
                        result.append("!");
                    }
                }
                for (Frame frame = channel.readInbound(); frame != null; frame = channel.readInbound()) {
                    result.append((char) frame.type).append(frame.isWellFormed())
                            .append(ByteBufUtil.hexDump(frame.content()));
                    frame.release();
                }
                result.append(decoder.hasPartialMessage()).append(decoder.bufferedBytes());
                expected = expected == null ? result.toString() : expected;
                assertEquals(expected, result.toString());
                channel.finishAndReleaseAll();
            }
            stream.release();
        }
    }

    @Test void errorResponseFieldsAreReadBack() {
        Frame frame = new Frame((byte) 'E', Messages.errorResponse(Unpooled.buffer(), "ERROR", "53300", "füll", "120"));
        assertEquals("53300", frame.errorFields().get('C'));
        assertEquals("füll", frame.errorFields().get('M'));
        assertEquals("120", frame.errorFields().get('D'));
        frame.release();
    }

    @Test void queryKeepsAllBytesButTheReplacedOnes() {
        Frame frame = new Frame((byte) 'Q', Messages.query(Unpooled.buffer(), "/* d=1500,x=1 */ SELECT ü"));
        ByteBuf query = Messages.query(UnpooledByteBufAllocator.DEFAULT, frame, 5, 9, 73);
        ByteBuf expected = Messages.query(Unpooled.buffer(), "/* d=73,x=1 */ SELECT ü");
        assertEquals(expected, query);
        expected.release();
        query.release();
        assertEquals(1, frame.refCnt());
        frame.release();
    }
}
