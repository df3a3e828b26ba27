import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the outside of a gateway: database servers, the discovery agent, clients and the platform that starts
 * the gateway with the run line of deploy/balancer.toml. Plain JDK, blocking sockets, loopback addresses only.
 */
final class Kit implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getProperty("review.trouble"));
    static final Pattern ID = Pattern.compile("[/* ,]id=([0-9a-f]+)");
    static final Pattern QUOTED = Pattern.compile("'([^']*)'");

    final Path root = Path.of(System.getProperty("review.root"));
    final Path temp = Path.of(System.getProperty("review.temp"));
    final InetAddress loopback = InetAddress.getByName("127.0.0.1");
    final Map<String, Server> servers = new LinkedHashMap<>();
    final List<Agent> agents = new ArrayList<>();
    final List<Process> processes = new ArrayList<>();
    final AtomicLong nextId = new AtomicLong(0x1000);
    private final PrintWriter record;
    private final long began = System.nanoTime();

    /** A case; yields whether the rule held, and throws if the case could not run. */
    interface Case {
        boolean run(Kit kit) throws Exception;
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(Case body) {
        int[] status = {2};
        try (Kit kit = new Kit(System.getProperty("review.record"))) {
            daemon("watchdog", () -> {
                sleep(110_000);
                kit.say("the case took too long");
                kit.close();
                Runtime.getRuntime().halt(2);
            });
            try {
                kit.note(TROUBLE ? "with the disruption" : "without the disruption");
                status[0] = body.run(kit) ? 0 : 1;
                kit.say(status[0] == 0 ? "HELD" : "BROKEN");
            } catch (Exception e) {
                kit.say("the case could not run: %s", e);
            }
        } catch (IOException e) {
            System.out.println(e);
        }
        System.exit(status[0]);
    }

    Kit(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes a line to record.txt, with the milliseconds since the start. */
    void note(String format, Object... values) {
        String line = String.format("%9.1f ", (System.nanoTime() - began) / 1e6) + String.format(format, values);
        synchronized (record) {
            record.println(line);
        }
    }

    /** Writes a line to record.txt and to standard output. */
    void say(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(format, values));
        synchronized (record) {
            record.flush();
        }
    }

    @Override public void close() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (record) {
            record.flush();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread daemon(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- The platform ----

    int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
            return socket.getLocalPort();
        }
    }

    /** The run line of the deploy file. */
    String runLine() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
            }
        }
        throw new IOException("no run line in deploy/balancer.toml");
    }

    /** Starts a gateway as the platform does; its output goes to a file in the temporary folder. */
    Process startGateway(Path config, String name) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine()).directory(root.toFile());
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("LB_NAME", name);
        builder.environment().remove("REEDQUAY_OPS");
        builder.environment().put("TMPDIR", temp.toString());
        builder.redirectErrorStream(true).redirectOutput(temp.resolve(name + ".log").toFile());
        Process process = builder.start();
        processes.add(process);
        note("gateway %s started, pid %d", name, process.pid());
        return process;
    }

    /** Waits until the gateway answers an empty query, as the front does; throws if it does not within 30 s. */
    void awaitReady(int port) {
        long end = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < end) {
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(5000);
                client.sendQuery("");
                Answer answer = client.read();
                if (answer.kind == 'I') {
                    note("the gateway is ready");
                    return;
                }
            } catch (IOException e) {
                sleep(20);
            }
        }
        throw new IllegalStateException("the gateway did not become ready");
    }

    Path writeConfig(String file, String json) throws IOException {
        Path path = temp.resolve(file);
        Path draft = temp.resolve(file + ".new");
        Files.writeString(draft, json);
        Files.move(draft, path, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        return path;
    }

    /** The settings of example/config.json, in the platform's form; changes are made by the caller. */
    String config(int listen, String discovery, int memoryMb, int sockets, String known, String settings) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "}," + (known == null ? "" : "\"known\":" + known + ",")
                + "\"settings\":" + settings + "}";
    }

    /** The settings object of example/config.json. */
    String exampleSettings() throws IOException {
        String text = Files.readString(root.resolve("example/config.json"));
        int at = text.indexOf('{', text.indexOf("\"settings\""));
        int depth = 0;
        for (int i = at; ; i++) {
            depth += text.charAt(i) == '{' ? 1 : text.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return text.substring(at, i + 1);
            }
        }
    }

    /** A shell that sends signals to one process with little delay. */
    final class Signals {
        private final OutputStream commands;

        Signals(long pid) throws IOException {
            Process shell = new ProcessBuilder("/bin/sh", "-c", "while read s; do kill -$s " + pid + "; done")
                    .redirectErrorStream(true).redirectOutput(temp.resolve("signals.log").toFile()).start();
            processes.add(shell);
            commands = shell.getOutputStream();
        }

        synchronized void send(String signal) {
            try {
                commands.write((signal + "\n").getBytes(StandardCharsets.US_ASCII));
                commands.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    // ---- Messages of PostgreSQL protocol 3 ----

    /** Builds messages. */
    static final class Out {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        Out message(char type, byte[] body) {
            bytes.write(type);
            number(body.length + 4);
            bytes.writeBytes(body);
            return this;
        }

        private void number(int value) {
            bytes.write(value >>> 24);
            bytes.write(value >>> 16);
            bytes.write(value >>> 8);
            bytes.write(value);
        }

        static byte[] text(String... strings) {
            return (String.join("\0", strings) + "\0").getBytes(StandardCharsets.UTF_8);
        }

        Out ready() {
            return message('Z', new byte[] {'I'});
        }

        Out status(String name, String value) {
            return message('S', text(name, value));
        }

        Out row(String value) {
            Out body = new Out();
            body.bytes.writeBytes(new byte[] {0, 1});
            body.bytes.writeBytes(text("data"));
            body.bytes.writeBytes(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1});
            message('T', body.bytes.toByteArray());
            Out cell = new Out();
            byte[] data = value.getBytes(StandardCharsets.UTF_8);
            cell.bytes.writeBytes(new byte[] {0, 1});
            cell.number(data.length);
            cell.bytes.writeBytes(data);
            return message('D', cell.bytes.toByteArray()).message('C', text("SELECT 1"));
        }

        Out error(String code) {
            Out body = new Out();
            body.bytes.writeBytes(text("SERROR", "C" + code, "Mstand-in"));
            body.bytes.write(0);
            return message('E', body.bytes.toByteArray());
        }
    }

    // ---- Database servers ----

    /** A statement that a server received: when its last byte had arrived. */
    record Arrival(long at, String server, String id, String statement) { }

    /** What a server does with a statement; runs on the connection's thread. */
    interface Behaviour {
        void handle(Server server, Connection connection, Arrival arrival) throws IOException;
    }

    /** A database server; one thread for each connection. */
    final class Server {
        final String name;
        final int cell;
        final ServerSocket listener;
        final List<Connection> connections = new ArrayList<>();
        volatile boolean primary;
        volatile String lifecycle = "ready";
        volatile long startedAtMs;
        volatile long handshakeMillis;
        volatile Behaviour behaviour;

        Server(String name, int cell, boolean primary, Behaviour behaviour) throws IOException {
            this.name = name;
            this.cell = cell;
            this.primary = primary;
            this.behaviour = behaviour;
            listener = new ServerSocket(0, 200, loopback);
            servers.put(name, this);
            daemon("accept-" + name, this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Connection connection = new Connection(this, listener.accept());
                    synchronized (connections) {
                        connections.add(connection);
                    }
                    daemon(name, connection::run);
                }
            } catch (IOException e) {
                // closed
            }
        }

        String entry() {
            return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:" + listener.getLocalPort()
                    + "\",\"zone\":\"a\",\"machineType\":\"m2\",\"cell\":" + cell + ",\"lifecycle\":\"" + lifecycle
                    + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + ",\"role\":\""
                    + (primary ? "leader" : "follower") + "\"}";
        }
    }

    /** A server's side of a connection. */
    final class Connection {
        final Server server;
        final Socket socket;
        DataInputStream in;
        OutputStream out;

        Connection(Server server, Socket socket) {
            this.server = server;
            this.socket = socket;
        }

        void run() {
            try (socket) {
                socket.setTcpNoDelay(true);
                in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 65536));
                out = socket.getOutputStream();
                in.readNBytes(in.readInt() - 4);
                sleep(server.handshakeMillis);
                write(new Out().message('R', new byte[4]).status("server_version", "15.0").ready());
                while (true) {
                    int type = in.readUnsignedByte();
                    byte[] body = in.readNBytes(in.readInt() - 4);
                    if (type != 'Q') {
                        return;
                    }
                    String text = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
                    long at = System.nanoTime();
                    if (text.equals("SELECT 1") || text.equals("SHOW server_load")) {
                        server.behaviour.handle(server, this, new Arrival(at, server.name, null, text));
                    } else if (text.isBlank()) {
                        write(new Out().message('I', new byte[0]).ready());
                    } else {
                        Matcher id = ID.matcher(text);
                        if (!text.startsWith("/*") || !id.find()) {
                            note("%s got a statement that no client sent: %s", server.name, text);
                            write(new Out().error("08P01").ready());
                            continue;
                        }
                        server.behaviour.handle(server, this, new Arrival(at, server.name, id.group(1), text));
                    }
                }
            } catch (EOFException e) {
                // closed by the gateway
            } catch (IOException e) {
                // reset
            } finally {
                synchronized (server.connections) {
                    server.connections.remove(this);
                }
            }
        }

        void write(Out message) throws IOException {
            out.write(message.bytes.toByteArray());
            out.flush();
        }

        Out positioned(Out answer) {
            return answer.status("node_role", server.primary ? "leader" : "follower")
                    .status("replay_position", Long.toString(System.currentTimeMillis()));
        }

        /** Answers a probe as PROTOCOL says for settings that allow probes without reports. */
        void answerProbe() throws IOException {
            write(new Out().row("1").ready());
        }
    }

    // ---- Discovery ----

    /** The discovery agent at one address. */
    final class Agent {
        final ServerSocket listener;
        final List<Socket> watches = new ArrayList<>();
        volatile long generation = 41;
        volatile long answerDelayMillis;
        int calls;

        Agent() throws IOException {
            listener = new ServerSocket(0, 50, loopback);
            agents.add(this);
            daemon("agent", () -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        daemon("watch", () -> serve(socket));
                    }
                } catch (IOException e) {
                    // closed
                }
            });
            daemon("heartbeat", () -> {
                while (true) {
                    sleep(2000);
                    sendAll("");
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        String list(boolean full, java.util.Collection<Server> entries) {
            List<String> parts = new ArrayList<>();
            entries.forEach(s -> parts.add(s.entry()));
            return "{\"generation\":" + generation + ",\"reset\":" + full + ",\"instances\":["
                    + String.join(",", parts) + "]}";
        }

        private void serve(Socket socket) {
            try {
                socket.setTcpNoDelay(true);
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int read = socket.getInputStream().read();
                    if (read < 0) {
                        return;
                    }
                    head.append((char) read);
                }
                note("agent %s: %s", address(), head.substring(0, head.indexOf("\r\n")));
                calls++;
                sleep(answerDelayMillis);
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                synchronized (watches) {
                    writeLine(socket, list(true, servers.values()));
                    watches.add(socket);
                }
            } catch (IOException e) {
                note("agent: %s", e);
            }
        }

        private void writeLine(Socket socket, String line) throws IOException {
            byte[] data = (line + "\n").getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.writeBytes((Integer.toHexString(data.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            chunk.writeBytes(data);
            chunk.writeBytes(new byte[] {'\r', '\n'});
            socket.getOutputStream().write(chunk.toByteArray());
        }

        private void sendAll(String line) {
            synchronized (watches) {
                for (Socket socket : new ArrayList<>(watches)) {
                    try {
                        writeLine(socket, line);
                    } catch (IOException e) {
                        watches.remove(socket);
                    }
                }
            }
        }

        /** Tells a change of these servers to all watches. */
        void announce(Server... changed) {
            generation++;
            sendAll(list(false, List.of(changed)));
        }

        /** Takes no new connection; the open ones are closed after the given time. */
        void leave(long afterMillis) throws IOException {
            listener.close();
            daemon("leave", () -> {
                sleep(afterMillis);
                synchronized (watches) {
                    for (Socket socket : watches) {
                        try {
                            socket.close();
                        } catch (IOException e) {
                            // closed already
                        }
                    }
                    watches.clear();
                }
            });
        }
    }

    // ---- Clients ----

    /** An answer: kind 'D' a value, 'E' an error with its code, 'I' for the empty query, 'X' the connection ended. */
    record Answer(char kind, String text, long at) { }

    /** A client's connection. */
    final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final DataInputStream in;
        final DataOutputStream out;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(loopback, port), 5000);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 16384));
            out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 262144));
            byte[] body = Out.text("user", "portal", "database", "crm", "");
            out.writeInt(body.length + 8);
            out.writeInt(196608);
            out.write(body);
            out.flush();
        }

        void sendQuery(String text) throws IOException {
            writeQuery(text);
            out.flush();
        }

        /** Writes a query to the buffer, for several in one write. */
        void writeQuery(String text) throws IOException {
            byte[] body = Out.text(text);
            out.writeByte('Q');
            out.writeInt(body.length + 4);
            out.write(body);
        }

        /** Reads up to ReadyForQuery of the next command; the startup's messages are skipped. */
        Answer read() throws IOException {
            char kind = 0;
            String text = "";
            while (true) {
                int type = in.read();
                if (type < 0) {
                    return new Answer('X', "", System.nanoTime());
                }
                byte[] body = in.readNBytes(in.readInt() - 4);
                switch (type) {
                    case 'D' -> {
                        kind = 'D';
                        text = new String(body, 6, body.length - 6, StandardCharsets.UTF_8);
                    }
                    case 'E' -> {
                        kind = 'E';
                        text = errorCode(body);
                        if (errorSeverity(body).equals("FATAL")) {
                            return new Answer('E', text, System.nanoTime());
                        }
                    }
                    case 'I' -> kind = 'I';
                    case 'Z' -> {
                        if (kind != 0) {
                            return new Answer(kind, text, System.nanoTime());
                        }
                    }
                    default -> { }
                }
            }
        }

        @Override public void close() throws IOException {
            socket.close();
        }
    }

    static String errorCode(byte[] body) {
        return errorField(body, 'C');
    }

    static String errorSeverity(byte[] body) {
        return errorField(body, 'S');
    }

    private static String errorField(byte[] body, char name) {
        for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
            if (!field.isEmpty() && field.charAt(0) == name) {
                return field.substring(1);
            }
        }
        return "";
    }

    /** The gateway's counters, for the record alone; nothing is judged by them. */
    void noteCounters(int port) {
        try (Client client = new Client(port)) {
            client.socket.setSoTimeout(2000);
            note("counters %s", new java.util.TreeMap<>(statistics(client)));
        } catch (IOException e) {
            note("no counters: %s", e);
        }
    }

    private static Map<String, String> statistics(Client client) throws IOException {
        client.sendQuery("SHOW counters");
        Map<String, String> counters = new HashMap<>();
        while (true) {
            int type = client.in.read();
            byte[] body = client.in.readNBytes(client.in.readInt() - 4);
            if (type == 'D') {
                int length = (body[4] & 255) << 8 | body[5] & 255;
                counters.put(new String(body, 6, length), new String(body, 10 + length, body.length - 10 - length));
            } else if (type == 'Z' && !counters.isEmpty()) {
                return counters;
            }
        }
    }
}
