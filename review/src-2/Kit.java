import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the cases share: stand-ins for clients, database servers and discovery after the published protocol, and the
 * gateway as a process of its own, started with the run line of the deploy file. Loopback addresses only; no libraries.
 */
final class Kit {
    static final boolean TROUBLE = !"0".equals(System.getProperty("trouble"));
    static final Path ROOT = Path.of(System.getProperty("root"));
    static final Path TEMP = Path.of(System.getProperty("temp"));
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    private Kit() { }

    // ---- Record and end ----

    /** The body of a case: returns whether the rule held. */
    interface Body {
        boolean run() throws Exception;
    }

    /** A condition that makes the case impossible to judge. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    /** Runs the case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(Body body) {
        int status;
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record"))));
            note("trouble: " + (TROUBLE ? "yes" : "no"));
            Thread watchdog = new Thread(() -> {
                sleep(110_000);
                note("the case took too long");
                finish(2);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            Runtime.getRuntime().addShutdownHook(new Thread(Gateway::destroyAll)); // where this process is ended
            status = body.run() ? 0 : 1;
        } catch (Throwable e) {
            note("could not run: " + e);
            for (StackTraceElement element : e.getStackTrace()) {
                note("    at " + element);
            }
            status = 2;
        }
        finish(status);
    }

    private static synchronized void finish(int status) {
        Gateway.killAll();
        for (Server server : Server.ALL) {
            server.arrivals.forEach(a -> note("run: " + server.name + " received " + a.id + ", its first byte at "
                    + a.firstByteAt + " ms"));
        }
        String result = status == 0 ? "the rule held" : status == 1 ? "THE RULE WAS BROKEN" : "the case could not run";
        note("result: " + result + " (exit " + status + ")");
        System.out.println(result);
        record.flush();
        Runtime.getRuntime().halt(status);
    }

    static long nowMs() {
        return System.currentTimeMillis();
    }

    /** Milliseconds since the case began. */
    static long at() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /** Writes a line to record.txt. */
    static void note(String line) {
        synchronized (Kit.class) {
            record.printf("%7d ms  %s%n", at(), line);
            record.flush();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sleeps until so many milliseconds after the case began. */
    static void sleepUntil(long at) {
        sleep(at - at());
    }

    static Thread spawn(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new CannotRun("no free port: " + e);
        }
    }

    // ---- Messages of the protocol ----

    static final class Out {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        Out message(char type, byte[]... parts) {
            int length = 4;
            for (byte[] part : parts) {
                length += part.length;
            }
            bytes.write(type);
            bytes.writeBytes(int32(length));
            for (byte[] part : parts) {
                bytes.writeBytes(part);
            }
            return this;
        }

        Out status(String name, String value) {
            return message('S', text(name), text(value));
        }

        Out ready() {
            return message('Z', new byte[] {'I'});
        }

        Out error(String code, String why) {
            return message('E', text("SERROR"), text("VERROR"), text("C" + code), text("M" + why), new byte[1]);
        }

        Out row(String column, byte[] value) {
            message('T', int16(1), text(column), int32(0), int16(0), int32(17), int16(-1), int32(-1), int16(1));
            message('D', int16(1), int32(value.length), value);
            return message('C', text("SELECT 1"));
        }

        byte[] take() {
            byte[] all = bytes.toByteArray();
            bytes.reset();
            return all;
        }
    }

    static byte[] int32(int value) {
        return new byte[] {(byte) (value >> 24), (byte) (value >> 16), (byte) (value >> 8), (byte) value};
    }

    static byte[] int16(int value) {
        return new byte[] {(byte) (value >> 8), (byte) value};
    }

    static byte[] text(String value) {
        return (value + "\0").getBytes(StandardCharsets.UTF_8);
    }

    static byte[] startup(String user, String database) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(int32(196608));
        body.writeBytes(text("user"));
        body.writeBytes(text(user));
        body.writeBytes(text("database"));
        body.writeBytes(text(database));
        body.write(0);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(int32(body.size() + 4));
        all.writeBytes(body.toByteArray());
        return all.toByteArray();
    }

    static byte[] query(String text) {
        return new Out().message('Q', text(text)).take();
    }

    // ---- Database servers ----

    /** A statement that has reached a database server; times in milliseconds since the case began. */
    record Arrival(String id, String server, long firstByteAt) { }

    /** A group of database servers: the log of its commits, and who is primary. */
    static final class Group {
        /** A commit: position in Unix milliseconds. */
        record Commit(String code, String value, long position) { }

        final int number;
        final List<Commit> log = new ArrayList<>();
        volatile Server primary;
        private long lastPosition;

        Group(int number) {
            this.number = number;
        }

        private final Map<String, String> codes = new LinkedHashMap<>(); // each one once, since they may be long

        synchronized Commit commit(String code, String value) {
            lastPosition = Math.max(nowMs(), lastPosition + 1);
            Commit commit = new Commit(codes.computeIfAbsent(code, c -> c), value, lastPosition);
            if (value.length() > 1000) { // nobody asks for an older one
                log.removeIf(earlier -> earlier.code.equals(code));
            }
            log.add(commit);
            return commit;
        }

        synchronized String read(String code, long position) {
            String value = "none";
            for (Commit commit : log) {
                value = commit.code.equals(code) && commit.position <= position ? commit.value : value;
            }
            return value;
        }
    }

    /** One database server. */
    static final class Server {
        private static final List<Server> ALL = new CopyOnWriteArrayList<>();
        final String name;
        final Group group;
        final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        private ServerSocket listener;
        final int port;
        /** Work of a statement, in milliseconds. */
        volatile long workMillis = 5;
        /** Takes statements and answers none. */
        volatile boolean hangs;
        /** A replica's position is so far behind the present; it never goes back. */
        volatile long lagMillis = 10;
        /** While it catches up after a restart: when it came up, in Unix milliseconds; 0 otherwise. */
        private volatile long catchingUpSince;
        private volatile long stoodAt;
        private long position;

        Server(String name, Group group) {
            this.name = name;
            this.group = group;
            port = freePort();
            start();
            ALL.add(this);
        }

        void start() {
            try {
                listener = new ServerSocket();
                listener.setReuseAddress(true);
                listener.bind(new InetSocketAddress("127.0.0.1", port), 200);
            } catch (IOException e) {
                throw new CannotRun("cannot listen: " + e);
            }
            ServerSocket mine = listener;
            spawn(() -> {
                while (true) {
                    try {
                        Socket socket = mine.accept();
                        socket.setTcpNoDelay(true);
                        open.add(socket);
                        spawn(() -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        /** As if its process had died: connections end and new ones are refused. */
        void die() {
            stoodAt = position();
            try {
                listener.close();
                for (Socket socket : open) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                open.clear();
            } catch (IOException e) {
                throw new CannotRun("cannot stop a stand-in: " + e);
            }
        }

        boolean isPrimary() {
            return group.primary == this;
        }

        /** The time up to which it has all commits, in Unix milliseconds. */
        synchronized long position() {
            long now = nowMs();
            long replica = catchingUpSince > 0 ? Math.min(stoodAt + 2 * (now - catchingUpSince), now - lagMillis)
                    : now - lagMillis;
            position = Math.max(position, isPrimary() ? now : replica);
            return position;
        }

        /** Comes up again after die(): it goes on from where it stood, and applies the log at twice its pace. */
        void restart() {
            catchingUpSince = nowMs();
            start();
        }

        private void serve(Socket socket) {
            try (socket) {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
                OutputStream to = socket.getOutputStream();
                in.skipNBytes(in.readInt() - 4);
                to.write(new Out().message('R', int32(0)).status("server_version", "15.0")
                        .message('K', int32(1), int32(1)).ready().take());
                while (true) {
                    int type = in.readUnsignedByte();
                    long firstByteAt = at();
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    if (type != 'Q') {
                        return;
                    }
                    String text = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
                    byte[] answer = answer(text, firstByteAt);
                    if (answer != null) {
                        to.write(answer);
                    }
                }
            } catch (IOException e) {
                // the connection has ended
            } finally {
                open.remove(socket);
            }
        }

        private byte[] answer(String text, long firstByteAt) {
            Out out = new Out();
            if (text.isBlank()) {
                return out.message('I').ready().take();
            }
            if (text.equals("SELECT 1")) {
                return status(out.row("one", new byte[] {'1'}), position()).ready().take();
            }
            if (!text.startsWith("/*")) {
                return out.error("42501", "not here").ready().take();
            }
            arrivals.add(new Arrival(field(text, "id"), name, firstByteAt));
            if (hangs) {
                return null;
            }
            sleep(workMillis);
            String sql = text.substring(text.indexOf("*/") + 2).strip();
            String[] quoted = sql.split("'");
            if (sql.startsWith("INSERT")) {
                if (!isPrimary()) {
                    return status(out.error("25006", "this is no primary"), position()).ready().take();
                }
                Group.Commit commit = group.commit(quoted[1], quoted[3]);
                return status(out.row("data", commit.value.getBytes(StandardCharsets.UTF_8)), commit.position)
                        .ready().take();
            }
            long seen = position();
            String value = group.read(quoted[1], seen);
            return status(out.row("data", value.getBytes(StandardCharsets.UTF_8)), seen).ready().take();
        }

        private Out status(Out out, long reported) {
            return out.status("node_role", isPrimary() ? "leader" : "follower")
                    .status("replay_position", Long.toString(reported));
        }
    }

    static String field(String text, String name) {
        int start = Math.max(text.indexOf(name + "="), 0) + name.length() + 1;
        int end = start;
        while (end < text.length() && ",* ".indexOf(text.charAt(end)) < 0) {
            end++;
        }
        return text.substring(start, end);
    }

    // ---- Discovery ----

    /** What discovery knows. */
    static final class Registry {
        private record Entry(long generation, String json) { }

        private final Map<String, Entry> entries = new TreeMap<>();
        private long generation;
        final List<Agent> agents = new CopyOnWriteArrayList<>();

        Registry(long firstGeneration) {
            generation = firstGeneration;
        }

        /** Changes entries in one step; each is the JSON of an instance, by id. */
        synchronized void change(Map<String, String> changed) {
            generation++;
            changed.forEach((id, json) -> entries.put(id, new Entry(generation, json)));
            note("discovery has generation " + generation + ": " + changed.values());
            for (Agent agent : agents) {
                agent.push(list(generation - 1, agent.indented));
            }
        }

        /** All entries changed after that generation, or the whole list for a negative one. */
        synchronized String list(long since, boolean indented) {
            boolean whole = since < 0;
            List<String> listed = new ArrayList<>();
            entries.values().stream().filter(e -> whole ? !e.json.contains("\"gone\"") : e.generation > since)
                    .forEach(e -> listed.add(e.json));
            String newLine = indented ? "\n" : "";
            String step = indented ? "  " : "";
            StringBuilder out = new StringBuilder("{" + newLine);
            out.append(step).append("\"generation\":").append(indented ? " " : "").append(generation).append(",")
                    .append(newLine);
            out.append(step).append("\"reset\":").append(indented ? " " : "").append(whole).append(",").append(newLine);
            out.append(step).append("\"instances\":").append(indented ? " " : "").append("[").append(newLine);
            for (int i = 0; i < listed.size(); i++) {
                out.append(step).append(step).append(listed.get(i)).append(i + 1 < listed.size() ? "," : "")
                        .append(newLine);
            }
            return out.append(step).append("]").append(newLine).append("}").toString();
        }

        synchronized long generation() {
            return generation;
        }
    }

    /** The JSON of an instance. role: null where the list shows none. */
    static String instance(Server server, String lifecycle, long startedAtMs, String role) {
        return "{\"instanceId\":\"" + server.name + "\",\"hostPort\":\"127.0.0.1:" + server.port
                + "\",\"zone\":\"a\",\"machineType\":\"std-4\",\"cell\":" + server.group.number + ",\"lifecycle\":\""
                + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs
                + (role == null ? "" : ",\"role\":\"" + role + "\"") + "}";
    }

    /** The agent of discovery at one address. */
    static final class Agent {
        final String name;
        private final Registry registry;
        private final ServerSocket listener;
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        /** Lists are written with line breaks and leading spaces. */
        volatile boolean indented;
        /** So many of the next watches are accepted, and nothing is ever written on them. */
        volatile int silentWatches;
        final AtomicLong watchesSeen = new AtomicLong();

        Agent(String name, Registry registry) {
            this.name = name;
            this.registry = registry;
            try {
                listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            } catch (IOException e) {
                throw new CannotRun("cannot listen: " + e);
            }
            registry.agents.add(this);
            spawn(this::accept);
            spawn(() -> {
                while (true) {
                    sleep(2000);
                    push("");
                }
            });
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Takes no new connection from now on, and closes the open ones after 1.5 s. */
        void leave() {
            try {
                listener.close();
            } catch (IOException e) {
                throw new CannotRun("cannot stop a stand-in: " + e);
            }
            spawn(() -> {
                sleep(1500);
                registry.agents.remove(this);
                for (Socket watch : watches) {
                    try {
                        watch.close();
                    } catch (IOException e) {
                        // closed already
                    }
                }
                note("agent " + name + " has closed its open connections");
            });
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    spawn(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try {
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                String request = readHead(in);
                boolean follow = request.contains("follow=1");
                int sinceIndex = request.indexOf("since=");
                long since = sinceIndex < 0 ? -1
                        : Long.parseLong(request.substring(sinceIndex + 6).split("[^0-9]")[0]);
                boolean silent;
                synchronized (this) {
                    watchesSeen.incrementAndGet();
                    silent = silentWatches > 0;
                    silentWatches -= silent ? 1 : 0;
                }
                note("agent " + name + ": " + request.lines().findFirst().orElse("")
                        + (silent ? " -- nothing is written on this watch" : ""));
                if (silent) {
                    return; // the socket stays open
                }
                synchronized (registry) {
                    String first = since >= 0 && since == registry.generation() ? "" : registry.list(since, indented);
                    socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    writeChunk(socket, first);
                    if (follow) {
                        watches.add(socket);
                    } else {
                        socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    }
                }
                while (in.read() >= 0) { }
                socket.close();
            } catch (IOException e) {
                // the watch has ended
            }
            watches.remove(socket);
        }

        void push(String line) {
            synchronized (registry) {
                for (Socket watch : watches) {
                    try {
                        writeChunk(watch, line);
                    } catch (IOException e) {
                        watches.remove(watch);
                    }
                }
            }
        }

        private static void writeChunk(Socket socket, String line) throws IOException {
            byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            chunk.writeBytes(bytes);
            chunk.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(chunk.toByteArray());
        }

        private static String readHead(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("no request");
                }
                head.append((char) next);
            }
            return head.toString();
        }
    }

    // ---- The gateway ----

    /** A gateway process. */
    static final class Gateway {
        private static final List<Gateway> ALL = new CopyOnWriteArrayList<>();
        private final String settings;
        private final String known;
        private final Path config;
        final int port = freePort();
        Process process;

        /** settings: the JSON object; known: the list it had before, null for none. */
        Gateway(String settings, String known, int discoveryPort) throws IOException {
            this.settings = settings;
            this.known = known;
            config = TEMP.resolve("config-" + port + ".json");
            writeConfig(discoveryPort);
        }

        private void writeConfig(int discoveryPort) throws IOException {
            Path next = TEMP.resolve("next-" + port + ".json");
            Files.writeString(next, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                    + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                    + "\"sockets\":1024}," + (known == null ? "" : "\"known\":" + known + ",") + "\"settings\":"
                    + settings + "}");
            Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        Gateway start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring(7, line.lastIndexOf('"')).replace("\\\"", "\"");
                }
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(ROOT.toFile())
                    .redirectErrorStream(true).redirectOutput(TEMP.resolve("gateway-" + port + ".log").toFile());
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("LB_NAME", "n1");
            builder.environment().remove("REEDQUAY_OPS");
            process = builder.start();
            ALL.add(this);
            note("the gateway is started, pid " + process.pid());
            return this;
        }

        /** Waits until an empty query is answered, as the front does. */
        void awaitReady() {
            for (long end = at() + 30_000; at() < end; sleep(20)) {
                try (Client client = new Client(port, "front")) {
                    client.send("");
                    if (client.receive(5000).kind.equals("empty")) {
                        note("the gateway is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
            }
            throw new CannotRun("the gateway is not ready in 30 s");
        }

        /** Replaces the configuration by one that names another discovery address, and sends SIGHUP. */
        void moveDiscovery(int discoveryPort) throws IOException, InterruptedException {
            writeConfig(discoveryPort);
            signal("HUP");
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            note("SIG" + name + " to the gateway");
        }

        static void destroyAll() {
            ALL.forEach(gateway -> gateway.process.destroyForcibly());
        }

        static void killAll() {
            destroyAll();
            for (Gateway gateway : ALL) {
                try {
                    gateway.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                try {
                    for (String line : Files.readAllLines(TEMP.resolve("gateway-" + gateway.port + ".log"))) {
                        note("gateway's log: " + line);
                    }
                } catch (IOException e) {
                    note("no log of the gateway: " + e);
                }
            }
        }
    }

    // ---- Clients ----

    /** An answer. kind: ok, refused, failed, empty, closed (the connection ended) or none (no answer in time). */
    record Answer(String kind, String value, String code, long at, boolean fatal) {
        @Override public String toString() {
            return kind + (value == null ? "" : " " + value) + (code == null ? "" : " " + code);
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final String name;
        private final Socket socket = new Socket();
        private final DataInputStream in;
        private final OutputStream out;
        private boolean endedInOrder;
        private boolean checkedForReset;

        Client(int port, String name) throws IOException {
            this.name = name;
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
            out = socket.getOutputStream();
            out.write(startup("portal", "crm"));
            socket.setSoTimeout(10_000);
            while (true) { // up to ReadyForQuery
                int type = in.readUnsignedByte();
                in.skipNBytes(in.readInt() - 4);
                if (type == 'Z') {
                    return;
                }
            }
        }

        void send(String... texts) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (String text : texts) {
                all.writeBytes(query(text));
            }
            out.write(all.toByteArray());
        }

        Answer receive(long timeoutMillis) {
            String kind = "none";
            String value = null;
            String code = null;
            boolean fatal = false;
            try {
                socket.setSoTimeout((int) timeoutMillis);
                while (true) {
                    int type = in.readUnsignedByte();
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    if (type == 'I') {
                        kind = "empty";
                    } else if (type == 'D') {
                        value = new String(body, 6, body.length - 6, StandardCharsets.UTF_8);
                    } else if (type == 'C') {
                        kind = "ok";
                    } else if (type == 'E') {
                        for (String part : new String(body, StandardCharsets.UTF_8).split("\0")) {
                            code = part.startsWith("C") ? part.substring(1) : code;
                            fatal |= part.equals("SFATAL");
                        }
                        if (fatal) { // no ReadyForQuery is required
                            return new Answer("failed", null, code, at(), true);
                        }
                        kind = "53300".equals(code) || "57P03".equals(code) ? "refused" : "failed";
                    } else if (type == 'Z') {
                        return new Answer(kind, value, code, at(), false);
                    }
                }
            } catch (java.net.SocketTimeoutException e) {
                return new Answer("none", null, null, at(), false);
            } catch (IOException e) {
                endedInOrder = e instanceof java.io.EOFException;
                return new Answer("closed", null, null, at(), false);
            }
        }

        /** After a fatal error: reads up to the end of the connection; false if that does not come in time. */
        boolean awaitEnd(long timeoutMillis) {
            return receive(timeoutMillis).kind().equals("closed");
        }

        /**
         * Whether the gateway has ended the connection in order: by the end of the stream, and without a reset later,
         * which a close over bytes that it had not read would bring.
         */
        boolean endedInOrder() {
            if (!endedInOrder || checkedForReset) {
                return endedInOrder;
            }
            checkedForReset = true;
            sleep(800); // by then the gateway has closed its side
            try {
                out.write(0);
            } catch (IOException e) {
                endedInOrder = false;
            }
            return endedInOrder;
        }

        Answer ask(String text, long timeoutMillis) throws IOException {
            send(text);
            return receive(timeoutMillis);
        }

        @Override public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }
    }

    private static final AtomicLong NEXT_ID = new AtomicLong(0x10_0000_0000L + (System.nanoTime() & 0xffff_ffffL));

    static String newId() {
        return Long.toHexString(NEXT_ID.incrementAndGet());
    }

    static String read(String id, String method, int group, long waitMillis, String code) {
        return "/* id=" + id + ",c=" + method + ",t=acme,d=" + waitMillis + ",cluster=" + group
                + " */ SELECT data FROM facts WHERE code = '" + code + "'";
    }

    static String write(String id, String method, int group, long waitMillis, String code, String value) {
        return "/* id=" + id + ",c=" + method + ",t=acme,d=" + waitMillis + ",k=" + id + ",cluster=" + group
                + " */ INSERT INTO facts (code, data) VALUES ('" + code + "', '" + value + "') RETURNING data";
    }

    /** Settings of a small deployment; classes: a JSON array; reads: their consistency; ages: their bounds. */
    static String settings(String classes, String reads, String ages, String fall) {
        return "{\"Allowed\":{\"Cancel\":true,\"ConnectTimeout\":250.0,\"Keepalive\":30000.0,\"MaxRetryAfter\":1000.0,"
                + "\"MayDuplicate\":true,\"Probes\":true,\"RetryAfter\":true,\"SendCap\":10},"
                + "\"Domain\":{\"ClassRead\":" + reads + ",\"Guards\":\"silent\",\"MaxAge\":" + ages
                + ",\"ProgressTold\":true,\"TokenMode\":\"carried\"},\"Grades\":" + classes
                + ",\"PeersTotal\":1,\"RegistryMode\":\"pushed\",\"Report\":{\"How\":\"silent\",\"Names\":[]},"
                + "\"Rules\":{\"Cold\":15000.0,\"ColdShare\":0.26,\"DrainGrace\":500.0,\"Fall\":" + fall
                + ",\"OverloadFactor\":4.0},\"Tenants\":[{\"Name\":\"acme\",\"QuotaPerS\":300.0}],\"Tick\":5.0}";
    }

    /** One class of the settings. */
    static String grade(String name, double onTime, double giveUp, String repeat) {
        return "{\"Name\":\"" + name + "\",\"OnTime\":" + onTime + ",\"GiveUp\":" + giveUp + ",\"Worth\":2.0,"
                + "\"LateWorth\":0.2,\"Repeat\":\"" + repeat + "\",\"Group\":\"cell\",\"Window\":2000.0}";
    }

    /** The usual four classes: a bounded, a session and any read, which may run again, and a write with a mark. */
    static String usualSettings() {
        return settings("[" + grade("catalogue", 400, 1500, "free") + "," + grade("basket", 600, 2000, "free") + ","
                + grade("history", 500, 1200, "free") + "," + grade("order", 1200, 3000, "guarded") + "]",
                "[\"bounded\",\"session\",\"any\",\"write\"]", "[300.0,0.0,0.0,0.0]", "3000.0");
    }

    static Map<String, String> entries(Object... idsAndJson) {
        Map<String, String> map = new LinkedHashMap<>();
        for (int i = 0; i < idsAndJson.length; i += 2) {
            map.put(((Server) idsAndJson[i]).name, (String) idsAndJson[i + 1]);
        }
        return map;
    }
}
