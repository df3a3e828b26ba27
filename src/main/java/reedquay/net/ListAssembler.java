package reedquay.net;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * Puts together the member lists of a watch from its lines: a list is a JSON object, on one line or indented over
 * several. An empty line between two lists is a heartbeat; within a list it means that the list was cut off, as does a
 * whole list on one line. Not thread-safe.
 */
final class ListAssembler {
    /** Receives what the lines contain, in their order. */
    interface Listener {
        /** An empty line: the agent is alive and has no changes. */
        void heartbeat();

        /** An object that may be a list. */
        void list(JsonObject object);

        /** A line that no list can contain, or a list that was cut off; nothing of it is used. */
        void malformed();
    }

    /** Whether a text can be the beginning of one object, or is one. */
    private enum Progress { INCOMPLETE, COMPLETE, IMPOSSIBLE }

    private final int maxCharacters;
    private final Listener listener;
    private final StringBuilder pending = new StringBuilder(); // the lines of a list that is not complete
    private final ObjectScanner scanner = new ObjectScanner();

    /** maxCharacters: how long a list may be. */
    ListAssembler(int maxCharacters, Listener listener) {
        this.maxCharacters = maxCharacters;
        this.listener = listener;
    }

    /** A line was received, without its end. */
    void addLine(String line) {
        if (line.isBlank() && pending.isEmpty()) {
            listener.heartbeat();
            return;
        }
        boolean wasCutOff = line.isBlank() || !pending.isEmpty() && isWholeList(line);
        Progress progress = wasCutOff ? Progress.IMPOSSIBLE : scanner.scan(line);
        if (progress != Progress.IMPOSSIBLE) {
            pending.append(line).append('\n');
        }
        switch (progress) {
            case COMPLETE -> passOn();
            case IMPOSSIBLE -> reject();
            case INCOMPLETE -> {
                if (pending.length() > maxCharacters) {
                    reject();
                }
            }
        }
    }

    /** The characters of a list that is not complete. */
    int pendingCharacters() {
        return pending.length();
    }

    private void passOn() {
        JsonObject object = parse(pending.toString());
        reset();
        if (object == null) {
            listener.malformed();
        } else {
            listener.list(object);
        }
    }

    private void reject() {
        reset();
        listener.malformed();
    }

    private void reset() {
        pending.setLength(0);
        scanner.reset();
    }

    private static boolean isWholeList(String line) {
        if (!line.startsWith("{") || new ObjectScanner().scan(line) != Progress.COMPLETE) {
            return false;
        }
        JsonObject object = parse(line);
        return object != null && object.has("instances");
    }

    /** The object in the text; null where it is none. */
    private static JsonObject parse(String text) {
        try {
            JsonElement element = JsonParser.parseString(text);
            return element.isJsonObject() ? element.getAsJsonObject() : null;
        } catch (JsonParseException e) {
            return null;
        }
    }

    /** Follows brackets and strings, so that the end of an object is found without parsing it anew for each line. */
    private static final class ObjectScanner {
        private static final int MAX_DEPTH = 32; // a list has three levels

        private final char[] closing = new char[MAX_DEPTH]; // of the brackets that are open
        private int depth;
        private boolean complete;

        void reset() {
            depth = 0;
            complete = false;
        }

        /** Scans the next line. */
        Progress scan(String line) {
            boolean inString = false;
            for (int i = 0; i < line.length(); i++) {
                char character = line.charAt(i);
                if (inString) {
                    i += character == '\\' ? 1 : 0;
                    inString = character != '"';
                } else if (character == '"' && depth > 0) {
                    inString = true;
                } else if (!Character.isWhitespace(character) && !accept(character)) {
                    return Progress.IMPOSSIBLE;
                }
            }
            return inString ? Progress.IMPOSSIBLE : complete ? Progress.COMPLETE : Progress.INCOMPLETE;
        }

        /** Whether the character can follow outside of strings. */
        private boolean accept(char character) {
            return switch (character) {
                case '{', '[' -> open(character);
                case '}', ']' -> close(character);
                default -> depth > 0;
            };
        }

        private boolean open(char character) {
            boolean isStart = depth == 0 && !complete && character == '{';
            if (depth == MAX_DEPTH || depth == 0 && !isStart) {
                return false;
            }
            closing[depth++] = character == '{' ? '}' : ']';
            return true;
        }

        private boolean close(char character) {
            if (depth == 0 || closing[depth - 1] != character) {
                return false;
            }
            depth--;
            complete = depth == 0;
            return true;
        }
    }
}
