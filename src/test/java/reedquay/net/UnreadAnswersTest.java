package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import example.StandIn;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reedquay.pg.Messages;

/** Tests that answers which their clients do not read take no more of the memory than their limit. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UnreadAnswersTest {
    private static final int MEMORY_MB = 16;
    /** An eighth of the memory, and room for what is read and sent at a time. */
    private static final long MAX_BYTES = (MEMORY_MB / 8 + 2) << 20;
    private static final int VALUE_BYTES = 200_000;
    private static final int CLIENTS = 40;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private final StandIn standIn = new StandIn(0, 200, "one");
    private final List<Socket> clients = new ArrayList<>();
    private Gateway gateway;
    private InetSocketAddress address;

    private void start() throws IOException {
        JsonObject config = JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("discovery", "127.0.0.1:" + standIn.discoveryAddress().getPort());
        config.getAsJsonObject("limits").addProperty("memory_mb", MEMORY_MB);
        gateway = new Gateway(Configuration.parse(config.toString()));
        address = gateway.start().join();
    }

    @AfterEach void stop() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        gateway.stop().join();
        standIn.close();
    }

    private long counter(String name) {
        return gateway.counters().join().getOrDefault(name, 0L);
    }

    /** How many of the clients that read nothing find their connection reset, behind what was sent to them. */
    private int resets() throws IOException {
        int resets = 0;
        for (Socket client : clients.subList(1, clients.size())) {
            client.setSoTimeout(20);
            try {
                client.getInputStream().readAllBytes();
            } catch (SocketTimeoutException e) {
                continue; // it is open
            } catch (SocketException e) {
                resets++;
            }
        }
        return resets;
    }

    /** Prevents the end of direct memory by hundreds of clients that leave large answers unread. */
    @Test void unreadAnswersOfManyClientsKeepToTheirShareOfTheMemory() throws Exception {
        start();
        BlockingClient usual = new BlockingClient(address).startup();
        clients.add(usual.socket);
        assertEquals("I Z", usual.ask(""));
        String value = "v".repeat(VALUE_BYTES);
        assertEquals("T D:" + value + " C Z", usual.ask("/* id=1,c=order,t=acme,d=3000,k=1,cluster=1 */ INSERT INTO"
                + " facts (code, data) VALUES ('a', '" + value + "') RETURNING data"));
        long before = PooledByteBufAllocator.DEFAULT.pinnedDirectMemory();
        long most = 0;
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket();
            client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            client.connect(address);
            clients.add(client);
            var messages = Messages.startupMessage(Unpooled.buffer(), "portal", "crm");
            for (int j = 0; j < 40; j++) { // more than the sockets' buffers hold
                Messages.query(messages, "/* id=" + Integer.toHexString(0x1000 + 100 * i + j) + ",c=basket,t=acme,"
                        + "d=2000,cluster=1 */ SELECT data FROM facts WHERE code = 'a'");
            }
            client.getOutputStream().write(io.netty.buffer.ByteBufUtil.getBytes(messages));
            for (int j = 0; j < 20; j++) {
                most = Math.max(most, PooledByteBufAllocator.DEFAULT.pinnedDirectMemory() - before);
                assertTrue(counter("client.outputbytes") <= MAX_BYTES, counter("client.outputbytes") + " bytes wait");
                Thread.sleep(5);
            }
        }
        assertTrue(counter("client.closed.unread") > 0, "no client that reads nothing was closed");
        assertTrue(resets() > 0, "a connection that ends over answers which were not sent is reset");
        assertTrue(most <= 2 * MAX_BYTES, most + " bytes are in use for answers that nobody reads");
        assertEquals("T D:" + value + " C Z", usual.ask("/* id=2,c=history,t=acme,d=1200,cluster=1 */ SELECT data"
                + " FROM facts WHERE code = 'a'"));
    }
}
