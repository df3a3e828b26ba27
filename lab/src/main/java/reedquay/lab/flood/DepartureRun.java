package reedquay.lab.flood;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import example.StandIn;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reedquay.lab.soak.GatewayProcess;
import reedquay.lab.soak.ProcessConfiguration;
import reedquay.pg.Messages;

/** One run of a plan: clients leave a gateway process, and the members' records show what was sent on afterwards. */
final class DepartureRun {
    private static final int ROUNDS = 4;
    private static final int ROUND_MILLIS = 700;
    private static final int WORK_MICROS = 60_000;
    /** A call-out may begin up to 0.1 s after its client has left; with the slack of the rules on sockets. */
    private static final long LEFT_GRACE_MILLIS = 100 + 50;
    private static final int SENT_AGAIN = 3;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final Pattern ID = Pattern.compile("/\\* id=([0-9a-f]+),");

    /** What was seen; violations: a line each. */
    record Result(DeparturePlan plan, int received, List<String> violations, String gatewayOutput) { }

    private final DeparturePlan plan;
    private final Path root;
    private final AtomicLong nextId = new AtomicLong(0x1000);
    private final Map<String, Long> leftAt = new ConcurrentHashMap<>();
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    DepartureRun(DeparturePlan plan, Path root) {
        this.plan = plan;
        this.root = root;
    }

    Result run() throws IOException, InterruptedException {
        Path config = Files.createTempFile("departures", ".json");
        try (StandIn standIn = new StandIn(0, 500, "one", "two", "three")) {
            for (String name : List.of("one", "two", "three")) {
                standIn.server(name).workMicros = WORK_MICROS;
            }
            standIn.statementListener = this::received;
            Files.writeString(config, configuration(standIn).toString());
            GatewayProcess gateway = new GatewayProcess(root.resolve("target/reedquay.jar"), config, Map.of());
            try {
                for (int round = 0; round < ROUNDS; round++) {
                    clientThatLeaves(gateway.address());
                    Thread.sleep(ROUND_MILLIS);
                }
                gateway.signal("TERM");
            } finally {
                gateway.awaitEndOrKill(System.nanoTime() + TimeUnit.SECONDS.toNanos(4));
            }
            violations.addAll(gateway.brokenInvariants());
            executions.forEach((id, count) -> {
                if (count > 1 && plan.command() == DeparturePlan.Command.WRITE) {
                    violations.add(id + " ran " + count + " times");
                }
            });
            return new Result(plan, executions.size(), violations, gateway.output());
        } finally {
            Files.deleteIfExists(config);
        }
    }

    private JsonObject configuration(StandIn standIn) throws IOException {
        JsonObject config = ProcessConfiguration.create(root, standIn);
        for (JsonElement element : config.getAsJsonObject("settings").getAsJsonArray("Grades")) {
            if (element.getAsJsonObject().get("Name").getAsString().equals("order")) {
                element.getAsJsonObject().addProperty("Repeat", "never");
            }
        }
        return config;
    }

    /** A member has received a statement. */
    private void received(StandIn.Server server, String statement) {
        long now = System.nanoTime();
        Matcher matcher = ID.matcher(statement);
        if (!matcher.find()) {
            return;
        }
        String id = matcher.group(1);
        if (server.primary || plan.command() == DeparturePlan.Command.READ) {
            executions.merge(id, 1, Integer::sum);
        }
        Long left = leftAt.get(id);
        long after = left == null ? 0 : (now - left) / 1_000_000;
        if (after > LEFT_GRACE_MILLIS) {
            violations.add(id + " was sent " + after + " ms after its client had left");
        }
    }

    private String statement(String id) {
        return "/* id=" + id + (plan.command() == DeparturePlan.Command.READ
                ? ",c=history,t=acme,d=1200,cluster=1 */ SELECT data FROM facts WHERE code = 'c'"
                : ",c=order,t=acme,d=" + DEADLINE_MILLIS + ",cluster=1 */ INSERT INTO facts (code, data) VALUES"
                + " ('c', 'v" + id + "') RETURNING data");
    }

    private void clientThatLeaves(InetSocketAddress address) throws IOException, InterruptedException {
        List<String> ids = new ArrayList<>();
        ByteBuf commands = Unpooled.buffer();
        for (int i = 0; i < plan.commands(); i++) {
            String id = Long.toHexString(nextId.incrementAndGet());
            ids.add(id);
            Messages.query(commands, statement(id));
        }
        Socket socket = connect(address);
        Thread writer = new Thread(() -> write(socket, commands), "writer");
        writer.setDaemon(true);
        writer.start();
        if (plan.readsAnswers()) {
            Thread reader = new Thread(() -> discardAnswers(socket), "reader");
            reader.setDaemon(true);
            reader.start();
        }
        writer.join(plan.leaveAfterMillis() + 200); // a gateway that stops reading does not keep the client
        Thread.sleep(plan.leaveAfterMillis());
        leave(socket);
        long now = System.nanoTime();
        List<String> again = plan.sendsAgain() ? ids.subList(0, Math.min(SENT_AGAIN, ids.size())) : List.of();
        ids.stream().filter(id -> !again.contains(id)).forEach(id -> leftAt.put(id, now));
        if (!again.isEmpty()) {
            sendAgain(address, again);
        }
        if (plan.departure() == DeparturePlan.Departure.HALF_CLOSE) {
            Thread.sleep(ROUND_MILLIS);
            socket.close();
        }
    }

    private void leave(Socket socket) throws IOException {
        switch (plan.departure()) {
            case CLOSE -> socket.close();
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case HALF_CLOSE -> socket.shutdownOutput();
        }
    }

    private void sendAgain(InetSocketAddress address, List<String> ids) throws IOException {
        try (Socket socket = connect(address)) {
            for (String id : ids) {
                write(socket, Messages.query(Unpooled.buffer(), statement(id)));
                if (!readsAnswer(socket)) {
                    violations.add(id + " got no answer when it was sent again");
                    return;
                }
            }
        }
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(DEADLINE_MILLIS + 600);
        write(socket, Messages.startupMessage(Unpooled.buffer(), "portal", "crm"));
        readsAnswer(socket);
        return socket;
    }

    private static void write(Socket socket, ByteBuf message) {
        try {
            socket.getOutputStream().write(ByteBufUtil.getBytes(message));
        } catch (IOException e) {
            return; // the client has left meanwhile
        }
    }

    private static void discardAnswers(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8192];
            while (in.read(buffer) >= 0) { }
        } catch (IOException e) {
            return; // the client has left
        }
    }

    /** Reads up to a ReadyForQuery; false where the connection ends or nothing comes. */
    private static boolean readsAnswer(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        try {
            while (true) {
                int type = in.read();
                if (type < 0) {
                    return false;
                }
                byte[] length = in.readNBytes(4);
                in.readNBytes(Unpooled.wrappedBuffer(length).readInt() - 4);
                if (type == 'Z') {
                    return true;
                }
            }
        } catch (SocketTimeoutException e) {
            return false;
        }
    }
}
