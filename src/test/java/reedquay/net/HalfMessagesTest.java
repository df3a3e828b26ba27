package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.pg.Messages;

/** Tests that messages which their senders never complete take no more of the memory than their limit. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HalfMessagesTest {
    private static final int MEMORY_MB = 32;
    /** An eighth of the memory, and room for what is read at a time. */
    private static final long MAX_PINNED_BYTES = (MEMORY_MB / 8 + 2) << 20;
    private static final int MESSAGE_BYTES = 262_144;

    private final StandIn standIn = new StandIn(0, 200, "one");
    private final List<BlockingClient> clients = new ArrayList<>();
    private Gateway gateway;
    private InetSocketAddress address;

    private void start(int memoryMb) throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
        config.getAsJsonObject("limits").addProperty("memory_mb", memoryMb);
        // a client that was sent an error may go on sending for as long as a connect may take
        config.getAsJsonObject("settings").getAsJsonObject("Allowed").addProperty("ConnectTimeout", 5000.0);
        gateway = new Gateway(Configuration.parse(config.toString()));
        address = gateway.start().join();
    }

    @AfterEach void stop() throws IOException {
        for (BlockingClient client : clients) {
            client.close();
        }
        gateway.stop().join();
        assertEquals(0, gateway.counters().join().get("client.partialbytes"));
        standIn.close();
    }

    /** The bytes of the pooled memory that are in use, in this process. */
    private static long pinnedBytes() {
        return PooledByteBufAllocator.DEFAULT.pinnedDirectMemory();
    }

    /**
     * Prevents a stop of the event loop, which happens when direct memory runs out: buffers of rejected messages were
     * kept until their connections closed, and buffers counted as the bytes that they hold.
     */
    @Test void halfMessagesOfManyClientsKeepToTheirShareOfTheMemory() throws Exception {
        start(MEMORY_MB);
        for (int sentBytes : new int[] {250_000, 140_000, 70_000}) {
            long before = pinnedBytes();
            long most = 0;
            for (int i = 0; i < 80; i++) {
                BlockingClient client = new BlockingClient(address).startup();
                clients.add(client);
                client.send(Unpooled.buffer().writeByte('Q').writeInt(MESSAGE_BYTES).writeZero(sentBytes));
                gateway.counters().join(); // what has arrived is read by then
                most = Math.max(most, pinnedBytes() - before);
            }
            assertTrue(most <= MAX_PINNED_BYTES, most + " bytes are in use for messages of which " + sentBytes
                    + " bytes were sent");
            assertTrue(gateway.counters().join().get("client.refused.partial") > 0);
            for (BlockingClient client : clients) {
                client.close();
            }
            clients.clear();
            for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5); pinnedBytes() - before > 1 << 20; ) {
                assertTrue(System.nanoTime() < end, "the memory is not released");
                Thread.sleep(5);
            }
        }
    }

    /** Prevents the same stop by members that begin an answer and never end it, on many connections. */
    @Test void unfinishedAnswersOfMembersKeepToTheirShareOfTheMemory() throws Exception {
        start(8); // an eighth of it holds four such answers
        BlockingClient writer = new BlockingClient(address).startup();
        clients.add(writer);
        assertEquals("I Z", writer.ask(""));
        assertTrue(writer.ask("/* id=1,c=order,t=acme,d=3000,k=1,cluster=1 */ INSERT INTO facts (code, data) VALUES"
                + " ('a', '" + "v".repeat(200_000) + "') RETURNING data").endsWith("Z"));
        standIn.server("one").fault = "unfinished";
        for (int i = 0; i < 40; i++) {
            clients.add(new BlockingClient(address).startup());
            clients.get(i + 1).send(Messages.query(Unpooled.buffer(), "/* id=" + (i + 2) + ",c=history,t=acme,d=1200,"
                    + "cluster=1 */ SELECT data FROM facts WHERE code = 'a'"));
            assertTrue(gateway.counters().join().get("client.partialbytes") <= 1 << 20);
        }
        for (BlockingClient client : clients.subList(1, clients.size())) {
            assertTrue(client.readAnswer().startsWith("E:"));
        }
        assertTrue(gateway.counters().join().getOrDefault("member.closed.partial", 0L) > 0);
    }

    /** Prevents endless work for a member whose response consists of small messages without end. */
    @Test void responseThatDoesNotEndIsMalformed() throws Exception {
        start(MEMORY_MB);
        BlockingClient client = new BlockingClient(address).startup();
        clients.add(client);
        assertEquals("I Z", client.ask(""));
        standIn.server("one").fault = "endless";
        assertTrue(client.ask("/* id=1,c=history,t=acme,d=1200,cluster=1 */ SELECT data FROM facts WHERE code = 'a'")
                .startsWith("E:"));
        assertTrue(gateway.counters().join().getOrDefault("callout.SPOILT", 0L) > 0);
    }

    /** Prevents the rejection of a usual client's message instead of those that have long been incomplete. */
    @Test void largeStatementIsServedWhileHalfMessagesFillTheirShare() throws Exception {
        start(MEMORY_MB);
        BlockingClient usual = new BlockingClient(address).startup();
        assertEquals("I Z", usual.ask(""));
        for (int i = 0; i < 40; i++) {
            clients.add(new BlockingClient(address).startup());
            clients.get(i).send(Unpooled.buffer().writeByte('Q').writeInt(MESSAGE_BYTES).writeZero(250_000));
        }
        String value = "v".repeat(200_000);
        String statement = "/* id=1,c=order,t=acme,d=3000,k=1,cluster=1 */ INSERT INTO facts (code, data) VALUES"
                + " ('a', '" + value + "') RETURNING data";
        var message = Messages.query(Unpooled.buffer(), statement);
        usual.send(message.readRetainedSlice(150_000));
        Thread.sleep(100);
        usual.send(message);
        assertEquals("T D:" + value + " C Z", usual.readAnswer());
        clients.add(usual);
    }
}
