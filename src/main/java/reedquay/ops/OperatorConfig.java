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
 * The operators' configuration file: TOML with one section per subsystem. Every key is validated, and all problems of a
 * file are reported together, each with file, line, key and the allowed values. {@link #RELOADABLE_KEYS} lists the keys
 * that a running gateway applies on reload.
 */
public record OperatorConfig(FairQueueing fairQueueing) {
    /**
     * Settings of admission control by fair queues. memoryKb limits the memory, in KiB, of all queued RPCs together,
     * without their messages; weights are by tenant name.
     */
    public record FairQueueing(boolean enabled, ClientIdentifier clientIdentifier, int memoryKb,
            Map<String, Double> weights) {
        /** The same settings in the form that the admission controller takes. */
        public AdmissionSettings admissionSettings() {
            return new AdmissionSettings(AdmissionSettings.maxWaitingWithin(memoryKb * 1024L), weights);
        }
    }

    /** Reports an invalid file. The message has one line per problem: {@code FILE:LINE: KEY: expected ...}. */
    public static final class InvalidConfigException extends IOException {
        private static final long serialVersionUID = 1;

        InvalidConfigException(List<String> problems) {
            super(String.join("\n", problems));
        }
    }

    /** Keys whose changes a running gateway applies on reload; changes of all others need a restart. */
    public static final Set<String> RELOADABLE_KEYS = Set.of("fair.weights");

    private static final FairQueueing DEFAULT_FAIR_QUEUEING =
            new FairQueueing(false, new ClientIdentifier(ClientIdentifier.Kind.KEY, ""), 512, Map.of());

    /**
     * Reads and validates a file.
     *
     * @throws IOException if the file cannot be read
     * @throws InvalidConfigException if the file is not valid TOML or has an unknown key or a value that is not allowed
     */
    public static OperatorConfig read(Path file) throws IOException {
        return new Parser(file.toString(), Toml.parse(Files.readString(file))).parse();
    }

    /** Parses and validates a text; sourceName stands for the file name in error messages. */
    static OperatorConfig parse(String sourceName, String text) throws InvalidConfigException {
        return new Parser(sourceName, Toml.parse(text)).parse();
    }

    /** Returns the effective configuration, defaults included, as lines of a valid file with one key per line. */
    public List<String> effectiveLines() {
        List<String> lines = new ArrayList<>();
        lines.add("[fair]");
        lines.add("enabled = " + fairQueueing.enabled);
        lines.add("client = \"" + clientValue(fairQueueing.clientIdentifier) + "\"");
        lines.add("memory_kb = " + fairQueueing.memoryKb + "  # " + fairQueueing.admissionSettings().maxWaiting()
                + " RPCs may wait");
        lines.add("[fair.weights]");
        fairQueueing.weights.forEach((tenant, weight) -> lines.add("\"" + tenant + "\" = " + weight));
        return lines;
    }

    /** Returns the keys that differ in the new configuration and need a restart, separated by commas; may be empty. */
    public String changedKeysNeedingRestart(OperatorConfig newConfig) {
        List<String> changedKeys = new ArrayList<>();
        if (fairQueueing.enabled != newConfig.fairQueueing.enabled) {
            changedKeys.add("fair.enabled");
        }
        if (!fairQueueing.clientIdentifier.equals(newConfig.fairQueueing.clientIdentifier)) {
            changedKeys.add("fair.client");
        }
        if (fairQueueing.memoryKb != newConfig.fairQueueing.memoryKb) {
            changedKeys.add("fair.memory_kb");
        }
        return String.join(", ", changedKeys);
    }

    /** Returns the value of the key fair.client that selects the identifier. */
    private static String clientValue(ClientIdentifier identifier) {
        String kind = identifier.kind().name().toLowerCase(java.util.Locale.ROOT);
        return identifier.kind() == ClientIdentifier.Kind.PARAMETER ? kind + ":" + identifier.parameter() : kind;
    }

    /** Converts one parsed TOML document and collects its problems. */
    private static final class Parser {
        private final String file;
        private final TomlParseResult document;
        private final List<String> problems = new ArrayList<>();

        Parser(String file, TomlParseResult document) {
            this.file = file;
            this.document = document;
        }

        OperatorConfig parse() throws InvalidConfigException {
            for (TomlParseError error : document.errors()) {
                problems.add(file + ":" + error.position().line() + ": " + error.getMessage());
            }
            if (!problems.isEmpty()) {
                throw new InvalidConfigException(problems);
            }
            rejectUnknownKeys(document, "", Set.of("fair"));
            OperatorConfig config = new OperatorConfig(parseFairQueueing(tableValue(document, "", "fair")));
            if (!problems.isEmpty()) {
                throw new InvalidConfigException(problems);
            }
            return config;
        }

        private FairQueueing parseFairQueueing(TomlTable section) {
            if (section == null) {
                return DEFAULT_FAIR_QUEUEING;
            }
            rejectUnknownKeys(section, "fair.", Set.of("enabled", "client", "memory_kb", "weights"));
            Map<String, Double> weights = new TreeMap<>();
            TomlTable weightsSection = tableValue(section, "fair.", "weights");
            for (String tenant : weightsSection == null ? Set.<String>of() : weightsSection.keySet()) {
                Object value = weightsSection.get(List.of(tenant));
                double weight = value instanceof Number n ? n.doubleValue() : 0;
                if (weight < 0.001 || weight > 1_000_000) {
                    addProblem(weightsSection, tenant, "fair.weights." + tenant, "a number from 0.001 to 1000000");
                }
                weights.put(tenant, weight);
            }
            boolean enabled = booleanValue(section, "fair.", "enabled", false);
            ClientIdentifier clientIdentifier = parseClientIdentifier(section);
            if (clientIdentifier.kind() == ClientIdentifier.Kind.TENANT && weights.isEmpty()
                    && weightsSection != null) {
                addProblem(section, "client", "fair.client", "another kind, or weights: tenants alone without weights"
                        + " go by the settings' shares");
            }
            return new FairQueueing(enabled, clientIdentifier, (int) integerValue(section, "fair.", "memory_kb",
                    DEFAULT_FAIR_QUEUEING.memoryKb, 8, 262_144), weights);
        }

        private ClientIdentifier parseClientIdentifier(TomlTable section) {
            String allowed = "\"key\", \"connection\", \"address\", \"tenant\" or \"parameter:NAME\"";
            String text = typedValue(section, "fair.", "client", String.class, allowed);
            if (text == null) {
                return DEFAULT_FAIR_QUEUEING.clientIdentifier;
            }
            switch (text) {
                case "key", "connection", "address", "tenant" -> {
                    return new ClientIdentifier(
                            ClientIdentifier.Kind.valueOf(text.toUpperCase(java.util.Locale.ROOT)), "");
                }
                default -> {
                    if (!text.matches("parameter:[A-Za-z_][A-Za-z0-9_.]{0,62}")) {
                        addProblem(section, "client", "fair.client", allowed + ", not \"" + text + "\"");
                    }
                    return new ClientIdentifier(ClientIdentifier.Kind.PARAMETER, text.substring(text.indexOf(':') + 1));
                }
            }
        }

        // ---- Typed values ----

        private void rejectUnknownKeys(TomlTable table, String path, Set<String> knownKeys) {
            for (String key : table.keySet()) {
                if (!knownKeys.contains(key)) {
                    addProblem(table, key, path + key,
                            "one of " + String.join(", ", new java.util.TreeSet<>(knownKeys)));
                }
            }
        }

        private TomlTable tableValue(TomlTable section, String path, String key) {
            return typedValue(section, path, key, TomlTable.class, "a section [" + path + key + "]");
        }

        private boolean booleanValue(TomlTable section, String path, String key, boolean defaultValue) {
            Boolean value = typedValue(section, path, key, Boolean.class, "true or false");
            return value == null ? defaultValue : value;
        }

        private long integerValue(TomlTable section, String path, String key, long defaultValue, long minimum,
                long maximum) {
            String allowed = "a whole number from " + minimum + " to " + maximum;
            Long value = typedValue(section, path, key, Long.class, allowed);
            if (value != null && (value < minimum || value > maximum)) {
                addProblem(section, key, path + key, allowed + ", not " + value);
            }
            return value == null ? defaultValue : value;
        }

        /** Returns the value of a key; null if it is absent; null, with a recorded problem, if its type is wrong. */
        private <T> T typedValue(TomlTable section, String path, String key, Class<T> type, String allowed) {
            try {
                Object value = section.get(List.of(key));
                if (value == null || type.isInstance(value)) {
                    return type.cast(value);
                }
            } catch (TomlInvalidTypeException e) {
                // reported below
            }
            addProblem(section, key, path + key, allowed);
            return null;
        }

        /** Records a problem of a key of the section; path is the key's full name, allowed describes valid values. */
        private void addProblem(TomlTable section, String key, String path, String allowed) {
            TomlPosition position = section.inputPositionOf(List.of(key));
            problems.add(file + ":" + (position == null ? "" : position.line()) + ": " + path + ": expected "
                    + allowed);
        }
    }
}
