package reedquay.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Prints a table of the simulated days in journal entries, as far as they record shares by method; the tables of
 * docs/fleet.md are its output. The version of the Router is given by the first eight characters of the checksum of its
 * source text, which also name the copy of that text in journal/blobs.
 */
@Command(name = "played", mixinStandardHelpOptions = true,
        description = "Prints the simulated days of journal entries, with the share of each method's RPCs that was"
        + " served and the share that was required.")
final class JournalTable implements Callable<Integer> {
    @Spec private CommandSpec spec;
    @Parameters(paramLabel = "JOURNAL", description = "the directory of journal entries, or one entry")
    private Path journal;
    @Option(names = "--day", description = "print only days of this name, such as join+mass")
    private String day;
    @Option(names = "--since", description = "print only entries whose file names are not before this text in"
            + " alphabetical order, such as 20261201T22")
    private String since;

    @Override public Integer call() throws IOException {
        if (!Files.exists(journal)) {
            throw new ParameterException(spec.commandLine(), journal + " does not exist; name the journal's folder");
        }
        System.out.println("| entry | Router's text | day, seed | gateways, members | served (gate)"
                + " | methods: served / wanted | least | rules broken |\n" + "| --- ".repeat(8) + "|");
        int skipped = 0;
        for (Path file : entryFiles(journal)) {
            if (since != null && file.getFileName().toString().compareTo(since) < 0) {
                continue;
            }
            try {
                JsonObject entry = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
                rows(entry, day).forEach(System.out::println);
            } catch (JsonParseException | IllegalStateException | ClassCastException | NullPointerException e) {
                skipped++;
                System.err.println(file + " is not a journal entry with days as this table reads them; skipped");
            }
        }
        return skipped == 0 ? 0 : 1;
    }

    private static List<Path> entryFiles(Path journal) throws IOException {
        try (Stream<Path> files = Files.isDirectory(journal) ? Files.list(journal) : Stream.of(journal)) {
            return files.filter(f -> f.toString().endsWith(".json")).sorted().toList();
        }
    }

    /** Returns one row for each day that records shares by method; a null day stands for days of all names. */
    static List<String> rows(JsonObject entry, String day) {
        List<String> rows = new ArrayList<>();
        for (JsonElement element : entry.has("days") ? entry.getAsJsonArray("days") : new JsonArray()) {
            JsonObject dayObject = element.getAsJsonObject();
            if (!dayObject.has("by_class") || dayObject.get("by_class").isJsonNull()
                    || day != null && !day.equals(dayObject.get("name").getAsString())) {
                continue;
            }
            List<String> shares = new ArrayList<>();
            double least = Double.MAX_VALUE;
            for (JsonElement method : dayObject.getAsJsonArray("by_class")) {
                JsonArray share = method.getAsJsonArray();
                shares.add(String.format(Locale.ROOT, "%s %.3f / %.3f", share.get(0).getAsString(),
                        share.get(1).getAsDouble(), share.get(2).getAsDouble()));
                least = Math.min(least, share.get(1).getAsDouble() / share.get(2).getAsDouble());
            }
            List<String> violations = new ArrayList<>();
            dayObject.getAsJsonObject("rules").entrySet().stream().filter(r -> r.getValue().getAsInt() > 0)
                    .forEach(r -> violations.add(r.getKey() + " " + r.getValue()));
            String checksum = entry.getAsJsonArray("policy").get(0).getAsJsonObject().get("sha256").getAsString();
            rows.add(String.format(Locale.ROOT, "| %s | %s | %s %s | %s, %s | %.3f (%.3f) | %s | %.2f | %s |",
                    entry.get("id").getAsString(), checksum.substring(0, Math.min(8, checksum.length())),
                    dayObject.get("name").getAsString(), dayObject.get("seed").getAsString(),
                    dayObject.get("nodes").getAsString(), dayObject.get("servers").getAsString(),
                    dayObject.get("served").getAsDouble(), dayObject.get("served_least").getAsDouble(),
                    String.join("; ", shares), least, violations.isEmpty() ? "none" : String.join(", ", violations)));
        }
        return rows;
    }
}
