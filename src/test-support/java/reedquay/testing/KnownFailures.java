package reedquay.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over exactly the tests that KNOWN-RED.txt at the root of the project lists, and prints each. An entry is a
 * line that begins with CLASS#METHOD, the class by its simple name, followed by a space. The system property
 * reedquay.knownRed=run runs these tests too.
 */
public final class KnownFailures implements ExecutionCondition {
    private static final String LIST_FILE = "KNOWN-RED.txt";
    private static final boolean RUN_ALL = "run".equals(System.getProperty("reedquay.knownRed"));
    private final List<String> entries = readEntries();

    @Override public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        if (RUN_ALL || context.getTestMethod().isEmpty()) {
            return ConditionEvaluationResult.enabled("not a listed test");
        }
        String test = context.getRequiredTestClass().getSimpleName() + "#" + context.getRequiredTestMethod().getName();
        for (String entry : entries) {
            if (entry.startsWith(test + " ")) {
                System.out.println("KNOWN-RED, passed over: " + entry);
                return ConditionEvaluationResult.disabled(entry);
            }
        }
        return ConditionEvaluationResult.enabled("not listed in " + LIST_FILE);
    }

    /** The lines of the list, found in the working directory or the one above; none without a list. */
    private static List<String> readEntries() {
        try {
            for (Path directory : List.of(Path.of("."), Path.of(".."))) {
                if (Files.exists(directory.resolve(LIST_FILE))) {
                    return Files.readAllLines(directory.resolve(LIST_FILE));
                }
            }
            return List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
