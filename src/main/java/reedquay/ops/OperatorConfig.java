package reedquay.ops;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tomlj.Toml;
import org.tomlj.TomlInvalidTypeException;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import reedquay.fair.AdmissionSettings;
import reedquay.net.ClientIdentifier;

/**
 * The operators' own file, TOML, a section a subsystem. Every key is checked; what is wrong is told with file, line,
 * key and what is allowed, all of it at once. Keys that take effect while a gateway runs are named by LIVE.
 */
public record OperatorConfig(Fair fair) {
    /** Fair queues at the door; memoryKb: what those that wait may take, messages left out. */
    public record Fair(boolean enabled, ClientIdentifier client, int memoryKb, Map<String, Double> weights) {
        public AdmissionSettings terms() {
            return new AdmissionSettings(AdmissionSettings.maxWaitingWithin(memoryKb * 1024L), weights);
        }
    }

    /** What is wrong with a file, a line each: file:line: key: what is allowed instead. */
    public static final class InvalidConfigException extends IOException {
        private static final long serialVersionUID = 1;

        InvalidConfigException(List<String> lines) {
            super(String.join("\n", lines));
        }
    }

    /** Keys whose change a running gateway takes on; all others need a restart. */
    public static final Set<String> LIVE = Set.of("fair.weights");

    private static final Fair NO_FAIR = new Fair(false, new ClientIdentifier(ClientIdentifier.Kind.KEY, ""), 512, Map.of());

    /** Reads the file. Throws IOException where it can't be read, Unfit where something in it is not allowed. */
    public static OperatorConfig read(Path file) throws IOException {
        return new Reader(file.toString(), Toml.parse(Files.readString(file))).read();
    }

    /** The same from a text; name: what to call it in complaints. */
    static OperatorConfig parse(String name, String text) throws InvalidConfigException {
        return new Reader(name, Toml.parse(text)).read();
    }

    /** What would be in force, a line a key, in the form of the file. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("[fair]");
        lines.add("enabled = " + fair.enabled);
        lines.add("client = \"" + name(fair.client) + "\"");
        lines.add("memory_kb = " + fair.memoryKb + "  # " + fair.terms().maxWaiting() + " RPCs may wait");
        lines.add("[fair.weights]");
        fair.weights.forEach((tenant, weight) -> lines.add("\"" + tenant + "\" = " + weight));
        return lines;
    }

    /** What the next file changes that a running gateway can't take on, in words; empty for nothing. */
    public String needsRestartFor(OperatorConfig next) {
        List<String> unlike = new ArrayList<>();
        if (fair.enabled != next.fair.enabled) {
            unlike.add("fair.enabled");
        }
        if (!fair.client.equals(next.fair.client)) {
            unlike.add("fair.client");
        }
        if (fair.memoryKb != next.fair.memoryKb) {
            unlike.add("fair.memory_kb");
        }
        return String.join(", ", unlike);
    }

    private static String name(ClientIdentifier callers) {
        String kind = callers.kind().name().toLowerCase(java.util.Locale.ROOT);
        return callers.kind() == ClientIdentifier.Kind.PARAMETER ? kind + ":" + callers.parameter() : kind;
    }

    private static final class Reader {
        private final String file;
        private final TomlParseResult all;
        private final List<String> wrong = new ArrayList<>();

        Reader(String file, TomlParseResult all) {
            this.file = file;
            this.all = all;
        }

        OperatorConfig read() throws InvalidConfigException {
            for (TomlParseError error : all.errors()) {
                wrong.add(file + ":" + error.position().line() + ": " + error.getMessage());
            }
            if (!wrong.isEmpty()) {
                throw new InvalidConfigException(wrong);
            }
            only(all, "", Set.of("fair"));
            OperatorConfig read = new OperatorConfig(fair(table(all, "", "fair")));
            if (!wrong.isEmpty()) {
                throw new InvalidConfigException(wrong);
            }
            return read;
        }

        private Fair fair(TomlTable t) {
            if (t == null) {
                return NO_FAIR;
            }
            only(t, "fair.", Set.of("enabled", "client", "memory_kb", "weights"));
            Map<String, Double> weights = new TreeMap<>();
            TomlTable given = table(t, "fair.", "weights");
            for (String tenant : given == null ? Set.<String>of() : given.keySet()) {
                Object value = given.get(List.of(tenant));
                double weight = value instanceof Number n ? n.doubleValue() : 0;
                if (weight < 0.001 || weight > 1_000_000) {
                    complain(given, tenant, "fair.weights." + tenant, "a number from 0.001 to 1000000");
                }
                weights.put(tenant, weight);
            }
            boolean enabled = flag(t, "fair.", "enabled", false);
            ClientIdentifier client = client(t);
            if (client.kind() == ClientIdentifier.Kind.TENANT && weights.isEmpty() && given != null) {
                complain(t, "client", "fair.client", "another kind, or weights: tenants alone without weights"
                        + " go by the settings' shares");
            }
            return new Fair(enabled, client, (int) whole(t, "fair.", "memory_kb", NO_FAIR.memoryKb, 8, 262_144),
                    weights);
        }

        private ClientIdentifier client(TomlTable t) {
            String allowed = "\"key\", \"connection\", \"address\", \"tenant\" or \"parameter:NAME\"";
            String text = typed(t, "fair.", "client", String.class, allowed);
            if (text == null) {
                return NO_FAIR.client;
            }
            switch (text) {
                case "key", "connection", "address", "tenant" -> {
                    return new ClientIdentifier(ClientIdentifier.Kind.valueOf(text.toUpperCase(java.util.Locale.ROOT)), "");
                }
                default -> {
                    if (!text.matches("parameter:[A-Za-z_][A-Za-z0-9_.]{0,62}")) {
                        complain(t, "client", "fair.client", allowed + ", not \"" + text + "\"");
                    }
                    return new ClientIdentifier(ClientIdentifier.Kind.PARAMETER, text.substring(text.indexOf(':') + 1));
                }
            }
        }

        // ---- Kinds of values ----

        private void only(TomlTable table, String path, Set<String> keys) {
            for (String key : table.keySet()) {
                if (!keys.contains(key)) {
                    complain(table, key, path + key, "one of " + String.join(", ", new java.util.TreeSet<>(keys)));
                }
            }
        }

        private TomlTable table(TomlTable in, String path, String key) {
            return typed(in, path, key, TomlTable.class, "a section [" + path + key + "]");
        }

        private boolean flag(TomlTable in, String path, String key, boolean absent) {
            Boolean value = typed(in, path, key, Boolean.class, "true or false");
            return value == null ? absent : value;
        }

        private long whole(TomlTable in, String path, String key, long absent, long least, long most) {
            String allowed = "a whole number from " + least + " to " + most;
            Long value = typed(in, path, key, Long.class, allowed);
            if (value != null && (value < least || value > most)) {
                complain(in, key, path + key, allowed + ", not " + value);
            }
            return value == null ? absent : value;
        }

        private <T> T typed(TomlTable in, String path, String key, Class<T> type, String allowed) {
            try {
                Object value = in.get(List.of(key));
                if (value == null || type.isInstance(value)) {
                    return type.cast(value);
                }
            } catch (TomlInvalidTypeException e) {
                // told below
            }
            complain(in, key, path + key, allowed);
            return null;
        }

        private void complain(TomlTable in, String key, String path, String allowed) {
            TomlPosition at = in.inputPositionOf(List.of(key));
            wrong.add(file + ":" + (at == null ? "" : at.line()) + ": " + path + ": expected " + allowed);
        }
    }
}
