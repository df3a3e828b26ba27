package reedquay.net;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import reedquay.core.Method;
import reedquay.pg.Messages;

/**
 * A few RPCs through a gateway on loopback whose one member is another gateway, which refuses them all: a class
 * archive that the JVM makes meanwhile holds what serving needs, and a start with it is three times as quick.
 */
public final class Rehearsal {
    private static final int RPCS = 50;

    private Rehearsal() { }

    /** config: the JSON text of any fit configuration; its addresses are not used. */
    public static void run(String config) throws IOException {
        JsonObject all = JsonParser.parseString(config).getAsJsonObject();
        all.addProperty("listen", "127.0.0.1:0");
        Gateway member = new Gateway(Configuration.parse(all.toString()));
        String address = host(member.start().join());
        all.addProperty("discovery", address);
        all.add("known", JsonParser.parseString("{\"generation\":1,\"instances\":[{\"instanceId\":\"m\",\"hostPort\":\""
                + address + "\",\"cell\":1,\"lifecycle\":\"ready\",\"role\":\"leader\"}]}"));
        Configuration configuration = Configuration.parse(all.toString());
        Gateway gateway = new Gateway(configuration);
        InetSocketAddress at = gateway.start().join();
        ByteBuf bytes = Messages.startup(Unpooled.buffer(), "rehearsal", "rehearsal");
        Messages.query(bytes, "");
        for (Method method : configuration.settings().settings(0).methods()) {
            for (int i = 0; i < RPCS; i++) {
                Messages.query(bytes, "/* id=1,c=" + method.name() + ",t=t,d=100,k=1,cluster=1,after=1 */ "
                        + (method.need() == Method.Need.WRITE ? "INSERT" : "SELECT") + " 'key'");
            }
        }
        Messages.terminate(Messages.query(bytes, "SHOW counters"));
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            client.getOutputStream().write(ByteBufUtil.getBytes(bytes));
            client.getInputStream().readAllBytes();
        }
        gateway.stop().join();
        member.stop().join();
    }

    private static String host(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
