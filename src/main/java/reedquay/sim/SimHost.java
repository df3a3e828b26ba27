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
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.Settings;
import reedquay.route.Router;

/** Reads batches of the simulator's wire, hands them to one Router an instance, and writes the replies. */
public final class SimHost {
    /** Makes the decisions of one instance. */
    public interface RoutingEngineFactory {
        RoutingEngine create(Settings settings, RoutingActions effects);
    }

    private final RoutingEngineFactory maker;
    private final TreeMap<Long, Gateway> gateways = new TreeMap<>();
    private final String[][] lists = new String[16][];
    private final Set<Gateway> touched = new LinkedHashSet<>();
    private Gateway about;
    private long aboutId = -1;
    private long now;

    public SimHost(RoutingEngineFactory maker) {
        this.maker = maker;
    }

    /** Serves until the end of input; the exit status. */
    public static int serve(InputStream in, OutputStream out, PrintStream err) throws IOException {
        return serve(Router::new, in, out, err);
    }

    /** The same with other decisions. */
    public static int serve(RoutingEngineFactory maker, InputStream in, OutputStream out, PrintStream err) throws IOException {
        SimHost host = new SimHost(maker);
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
            } catch (Fields.Malformed e) {
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

    /** The reply to the lines of one batch, from MARK to FLUSH. */
    public String reply(List<String> batch) {
        touched.clear();
        about = null;
        aboutId = -1;
        StringBuilder out = new StringBuilder();
        try {
            for (int i = 0; i < batch.size(); i++) {
                Fields line = new Fields(batch.get(i));
                String name = line.name();
                if (i == 0 != name.equals("MARK")) {
                    throw line.bad("one MARK, in the first line of a batch");
                }
                i += event(name, line, batch, i);
            }
            for (Gateway gateway : touched) {
                aboutId = gateway.id;
                gateway.end(out);
            }
        } catch (Fields.Malformed e) {
            throw e;
        } catch (RuntimeException | StackOverflowError e) {
            out.setLength(0);
            StringWriter trace = new StringWriter();
            e.printStackTrace(new PrintWriter(trace));
            String text = trace.toString().replace('\n', '|').replaceAll("\\s+", " ");
            out.append("AS ").append(aboutId).append("\nCRASH ");
            out.append(text, 0, Math.min(1500, text.length())).append('\n');
        }
        return out.append("YIELD\n").toString();
    }

    /** Handles the event in line i; how many further lines belonged to it. */
    private int event(String name, Fields line, List<String> batch, int i) {
        switch (name) {
            case "MARK" -> now = line.millis("the clock in milliseconds");
            case "FLUSH" -> { }
            case "ABOUT" -> {
                aboutId = line.integer("an instance");
                about = gateways.get(aboutId);
                touch();
            }
            case "DEFINE_LIST" -> {
                return define(line, batch, i);
            }
            case "SPAWN" -> {
                if (aboutId < 0) {
                    throw line.bad("ABOUT before SPAWN");
                }
                touched.remove(about);
                long seed = line.integer("a seed");
                about = new Gateway(aboutId, seed, line, maker);
                gateways.put(aboutId, about);
                touch();
            }
            case "KILL" -> {
                touched.remove(named(line));
                gateways.remove(aboutId);
                about = null;
            }
            default -> named(line).event(name, line, lists);
        }
        return 0;
    }

    private int define(Fields line, List<String> batch, int i) {
        long ref = line.integer("a list number from 0 to 15");
        long count = line.integer("the number of entries");
        if (ref < 0 || ref > 15 || count < 0 || i + count >= batch.size()) {
            throw line.bad("a list number from 0 to 15 and as many SERVER lines as it says");
        }
        String[] entries = new String[(int) count];
        for (int k = 0; k < count; k++) {
            entries[k] = batch.get(i + 1 + k);
            Fields entry = new Fields(entries[k]);
            if (!entry.name().equals("SERVER")) {
                throw entry.bad("SERVER");
            }
        }
        lists[(int) ref] = entries;
        return (int) count;
    }

    private Gateway named(Fields line) {
        if (about == null) {
            throw line.bad("ABOUT with a started instance before this line");
        }
        return about;
    }

    private void touch() {
        if (about != null && touched.add(about)) {
            about.begin(now);
        }
    }
}
