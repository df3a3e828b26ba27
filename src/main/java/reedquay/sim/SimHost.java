package reedquay.sim;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Settings;
import reedquay.route.Router;

/** Reads batches of lines in the simulator's protocol, runs a routing engine per instance, and writes the replies. */
public final class SimHost {
    /** Creates the routing engine of one instance. */
    public interface RoutingEngineFactory {
        RoutingEngine create(Settings settings, RoutingActions actions);
    }

    private final RoutingEngineFactory engineFactory;
    private final TreeMap<Long, SimGateway> gateways = new TreeMap<>();
    private final String[][] lists = new String[16][]; // member lists by number, as lines; null if not defined
    private final Set<SimGateway> addressed = new LinkedHashSet<>(); // instances named in this batch
    private SimGateway current; // the instance that the last ABOUT named; null if none did or it is not started
    private long currentId = -1;
    private long now;

    /** Creates a host without instances; the factory creates the engine of each instance that is started. */
    public SimHost(RoutingEngineFactory engineFactory) {
        this.engineFactory = engineFactory;
    }

    /** Serves with a Router per instance until the end of input. Returns the exit status: 1 for malformed input. */
    public static int serve(InputStream in, OutputStream out, PrintStream err) throws IOException {
        return serve(Router::new, in, out, err);
    }

    /** Serves with the engines of a factory until the end of input. Returns the exit status: 1 for malformed input. */
    public static int serve(RoutingEngineFactory engineFactory, InputStream in, OutputStream out, PrintStream err)
            throws IOException {
        SimHost host = new SimHost(engineFactory);
        var reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        List<String> batch = new ArrayList<>();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            batch.add(line);
            if (!line.equals("FLUSH")) {
                continue;
            }
            String reply;
            try {
                reply = host.reply(batch);
            } catch (LineReader.MalformedLineException e) {
                err.println("reedquay: " + e.getMessage());
                return 1;
            }
            out.write(reply.getBytes(StandardCharsets.UTF_8));
            out.flush();
            batch.clear();
        }
        if (!batch.isEmpty()) {
            err.println("reedquay: expected FLUSH before the end of input after " + batch.size() + " lines");
            return 1;
        }
        return 0;
    }

    /**
     * Returns the reply to the lines of one batch, from MARK to FLUSH. An exception in an engine is reported in a CRASH
     * line, which replaces the rest of the reply. Throws MalformedLineException for input that breaks the protocol.
     */
    public String reply(List<String> batch) {
        addressed.clear();
        current = null;
        currentId = -1;
        StringBuilder out = new StringBuilder();
        try {
            for (int index = 0; index < batch.size(); index++) {
                LineReader line = new LineReader(batch.get(index));
                String name = line.messageName();
                if (index == 0 != name.equals("MARK")) {
                    throw line.malformed("one MARK, in the first line of a batch");
                }
                index += handle(name, line, batch, index);
            }
            for (SimGateway gateway : addressed) {
                currentId = gateway.id;
                gateway.end(out);
            }
        } catch (LineReader.MalformedLineException e) {
            throw e;
        } catch (RuntimeException | StackOverflowError e) {
            out.setLength(0);
            StringWriter trace = new StringWriter();
            e.printStackTrace(new PrintWriter(trace));
            String text = trace.toString().replace('\n', '|').replaceAll("\\s+", " ");
            out.append("AS ").append(currentId).append("\nCRASH ");
            out.append(text, 0, Math.min(1500, text.length())).append('\n');
        }
        return out.append("YIELD\n").toString();
    }

    /** Handles the event in line index; returns how many of the following lines belong to it. */
    private int handle(String name, LineReader line, List<String> batch, int index) {
        switch (name) {
            case "MARK" -> now = line.millis("the clock time in milliseconds");
            case "FLUSH" -> { }
            case "ABOUT" -> {
                currentId = line.integer("an instance number");
                current = gateways.get(currentId);
                beginCurrent();
            }
            case "DEFINE_LIST" -> {
                return defineList(line, batch, index);
            }
            case "SPAWN" -> {
                if (currentId < 0) {
                    throw line.malformed("ABOUT before SPAWN");
                }
                addressed.remove(current);
                long seed = line.integer("a seed");
                current = new SimGateway(currentId, seed, line, engineFactory);
                gateways.put(currentId, current);
                beginCurrent();
            }
            case "KILL" -> {
                addressed.remove(requireCurrent(line));
                gateways.remove(currentId);
                current = null;
            }
            default -> requireCurrent(line).handle(name, line, lists);
        }
        return 0;
    }

    private int defineList(LineReader line, List<String> batch, int index) {
        long listNumber = line.integer("a list number from 0 to 15");
        long count = line.integer("the number of entries");
        if (listNumber < 0 || listNumber > 15 || count < 0 || index + count >= batch.size()) {
            throw line.malformed("a list number from 0 to 15 and as many SERVER lines as the number of entries");
        }
        String[] entries = new String[(int) count];
        for (int entryIndex = 0; entryIndex < count; entryIndex++) {
            entries[entryIndex] = batch.get(index + 1 + entryIndex);
            LineReader entry = new LineReader(entries[entryIndex]);
            if (!entry.messageName().equals("SERVER")) {
                throw entry.malformed("SERVER");
            }
        }
        lists[(int) listNumber] = entries;
        return (int) count;
    }

    /** The instance that a line goes to; throws MalformedLineException if there is none. */
    private SimGateway requireCurrent(LineReader line) {
        if (current == null) {
            throw line.malformed("ABOUT with a running instance before this line");
        }
        return current;
    }

    /** Begins the batch on the current instance, once per batch. */
    private void beginCurrent() {
        if (current != null && addressed.add(current)) {
            current.begin(now);
        }
    }
}
