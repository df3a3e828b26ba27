package reedquay.net;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ListAssemblerTest {
    private static final int MAX_CHARACTERS = 10_000;

    /** What the lines of a text contain, in order. */
    private static List<String> assemble(String text) {
        List<String> events = new ArrayList<>();
        ListAssembler assembler = new ListAssembler(MAX_CHARACTERS, new ListAssembler.Listener() {
            @Override public void heartbeat() {
                events.add("heartbeat");
            }

            @Override public void list(JsonObject object) {
                events.add(object.toString());
            }

            @Override public void malformed() {
                events.add("malformed");
            }
        });
        text.lines().forEach(assembler::addLine);
        assertEquals(0, assembler.pendingCharacters());
        return events;
    }

    private static JsonObject randomList(SplittableRandom random) {
        JsonArray instances = new JsonArray();
        for (int i = random.nextInt(4); i > 0; i--) {
            JsonObject instance = new JsonObject();
            instance.addProperty("instanceId", List.of("s-1", "}", "{\"", "a\\", "],[", "\n").get(random.nextInt(6)));
            instance.addProperty("weight", random.nextInt(3));
            instances.add(instance);
        }
        JsonObject list = new JsonObject();
        list.addProperty("generation", random.nextInt(100));
        list.add("instances", instances);
        return list;
    }

    /** The text of a list: on one line, indented, without any indentation, or as it stands in the protocol's page. */
    private static String text(JsonObject list, int form) {
        String indented = new GsonBuilder().setPrettyPrinting().create().toJson(list);
        return switch (form) {
            case 0 -> list.toString();
            case 1 -> indented;
            case 2 -> indented.replaceAll("(?m)^ +", "");
            default -> list.toString().replaceFirst("\\[", "[\n    ");
        };
    }

    @Test void listsInAnyFormAndHeartbeatsComeInOrder() {
        SplittableRandom random = new SplittableRandom(54);
        for (int run = 0; run < 2_000; run++) {
            StringBuilder text = new StringBuilder();
            List<String> expected = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                if (random.nextInt(3) == 0) {
                    text.append(random.nextBoolean() ? "\n" : "  \r\n");
                    expected.add("heartbeat");
                    continue;
                }
                JsonObject list = randomList(random);
                text.append(text(list, random.nextInt(4))).append(random.nextBoolean() ? "\n" : "  \n");
                expected.add(list.toString());
            }
            assertEquals(expected, assemble(text.toString()), text.toString());
        }
    }

    /** Prevents silence where a list is cut off: what follows would be taken for a part of it. */
    @Test void listThatIsCutOffIsMalformedAndTheNextOneIsRead() {
        SplittableRandom random = new SplittableRandom(55);
        for (int run = 0; run < 2_000; run++) {
            String whole = text(randomList(random), random.nextInt(4));
            String cut = whole.substring(0, 1 + random.nextInt(whole.length() - 1));
            if (cut.isBlank() || cut.endsWith("\n")) {
                continue;
            }
            JsonObject next = randomList(random);
            List<String> events = assemble(cut + "\n\n" + next + "\n");
            assertEquals("malformed", events.get(0), cut);
            assertEquals(next.toString(), events.get(events.size() - 1));
            assertTrue(assemble(cut + "\n" + next + "\n").contains("malformed"), "at once, before any heartbeat");
            events = assemble(cut + "\n" + next + "\n\n" + next + "\n");
            assertTrue(events.contains("malformed"), cut);
            assertEquals(next.toString(), events.get(events.size() - 1));
        }
    }

    @Test void lineThatNoListCanContainIsMalformed() {
        for (String line : List.of("x", "[]", "{]", "{} {}", "\"a\"", "{\"a", "{\"a\":1} x", "[".repeat(100), "{x")) {
            assertEquals("malformed", assemble(line + "\n\n").get(0), line);
        }
        assertEquals(List.of("malformed"), assemble("{\n" + "\"a\":1,\n".repeat(MAX_CHARACTERS / 7 + 1)).subList(0, 1));
    }
}
