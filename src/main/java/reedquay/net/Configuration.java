package reedquay.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reedquay.core.SettingsReader;

/**
 * The configuration of a gateway. cachedMembers: the member list that discovery last sent before this start, null for
 * none; memoryMb: the memory limit, in MiB; sockets: the limit on file descriptors.
 */
public record Configuration(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        int memoryMb, int sockets, JsonObject cachedMembers, SettingsReader settings) {

    /** Reads the JSON file that the platform writes. Throws IllegalArgumentException where it is invalid. */
    public static Configuration read(Path file) throws IOException {
        return parse(Files.readString(file));
    }

    /** Parses the JSON text of a configuration. Throws IllegalArgumentException where it is invalid. */
    public static Configuration parse(String json) {
        try {
            JsonObject root = JsonParser.parseString(json).getAsJsonObject();
            JsonObject limits = root.has("limits") ? root.getAsJsonObject("limits") : new JsonObject();
            Map<String, String> pairs = new TreeMap<>();
            flatten("", required(root, "settings"), pairs);
            String seed = root.has("seed") ? root.get("seed").getAsString() : "0";
            return new Configuration(root.has("name") ? root.get("name").getAsString() : "gateway",
                    address(required(root, "listen").getAsString()), address(required(root, "discovery").getAsString()),
                    new BigInteger(seed, 16).longValue(),
                    limits.has("memory_mb") ? limits.get("memory_mb").getAsInt() : 192,
                    limits.has("sockets") ? limits.get("sockets").getAsInt() : 1024,
                    root.has("known") && root.get("known").isJsonObject() ? root.getAsJsonObject("known") : null,
                    new SettingsReader(pairs));
        } catch (JsonParseException | IllegalStateException | NumberFormatException | ClassCastException e) {
            throw new IllegalArgumentException("the configuration is malformed: " + e.getMessage(), e);
        }
    }

    /** The keys that the next configuration changes and that need a restart, separated by commas; empty for none. */
    String changesNeedingRestart(Configuration next) {
        List<String> changed = new ArrayList<>();
        if (!name.equals(next.name)) {
            changed.add("name");
        }
        if (!listen.equals(next.listen)) {
            changed.add("listen");
        }
        if (memoryMb != next.memoryMb || sockets != next.sockets) {
            changed.add("limits");
        }
        if (!settings.equals(next.settings)) {
            changed.add("settings");
        }
        return String.join(", ", changed);
    }

    private static JsonElement required(JsonObject object, String name) {
        if (!object.has(name)) {
            throw new IllegalArgumentException("the configuration has no key " + name);
        }
        return object.get(name);
    }

    /** Parses host:port, where the host is an IP address; no name is resolved. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("expected host:port instead of " + text);
        }
        // a name is refused, since resolving it would block the event loop
        InetAddress host = NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("expected an IP address instead of a name in " + text);
        }
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
    }

    /** Flattens nested values to pairs of path and value, in the form of the simulator's SPAWN message. */
    private static void flatten(String path, JsonElement value, Map<String, String> pairs) {
        if (value.isJsonObject()) {
            value.getAsJsonObject().entrySet().forEach(e ->
                    flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), pairs));
        } else if (value.isJsonArray()) {
            JsonArray array = value.getAsJsonArray();
            StringBuilder plain = new StringBuilder();
            boolean objects = false;
            for (int i = 0; i < array.size(); i++) {
                JsonElement element = array.get(i);
                if (element.isJsonPrimitive()) {
                    plain.append(plain.length() > 0 ? "," : "").append(element.getAsString());
                } else {
                    objects = true;
                    flatten(path + "." + i, element, pairs);
                }
            }
            pairs.put(objects ? path + ".count" : path, objects ? Integer.toString(array.size()) : plain.toString());
        } else if (value.isJsonPrimitive()) {
            pairs.put(path, value.getAsString());
        }
    }
}
