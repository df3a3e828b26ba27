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

/** What a gateway is told before it starts. */
public record Configuration(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        int memoryMb, int sockets, JsonObject rememberedMembers, SettingsReader settings) {

    /** Reads the JSON file that the platform writes. Throws IllegalArgumentException where it is unfit. */
    public static Configuration read(Path file) throws IOException {
        return parse(Files.readString(file));
    }

    public static Configuration parse(String json) {
        try {
            JsonObject all = JsonParser.parseString(json).getAsJsonObject();
            JsonObject limits = all.has("limits") ? all.getAsJsonObject("limits") : new JsonObject();
            Map<String, String> pairs = new TreeMap<>();
            flatten("", required(all, "settings"), pairs);
            String seed = all.has("seed") ? all.get("seed").getAsString() : "0";
            return new Configuration(all.has("name") ? all.get("name").getAsString() : "gateway",
                    address(required(all, "listen").getAsString()), address(required(all, "discovery").getAsString()),
                    new BigInteger(seed, 16).longValue(),
                    limits.has("memory_mb") ? limits.get("memory_mb").getAsInt() : 192,
                    limits.has("sockets") ? limits.get("sockets").getAsInt() : 1024,
                    all.has("known") && all.get("known").isJsonObject() ? all.getAsJsonObject("known") : null,
                    new SettingsReader(pairs));
        } catch (JsonParseException | IllegalStateException | NumberFormatException | ClassCastException e) {
            throw new IllegalArgumentException("the configuration is not as expected: " + e.getMessage(), e);
        }
    }

    /** What the next one changes that a running gateway cannot, in words; empty for nothing. */
    String changesNeedingRestart(Configuration next) {
        List<String> unlike = new ArrayList<>();
        if (!name.equals(next.name)) {
            unlike.add("name");
        }
        if (!listen.equals(next.listen)) {
            unlike.add("listen");
        }
        if (memoryMb != next.memoryMb || sockets != next.sockets) {
            unlike.add("limits");
        }
        if (!settings.equals(next.settings)) {
            unlike.add("settings");
        }
        return String.join(", ", unlike);
    }

    private static JsonElement required(JsonObject all, String name) {
        if (!all.has(name)) {
            throw new IllegalArgumentException("the configuration lacks " + name);
        }
        return all.get(name);
    }

    /** host:port; the host is an address, nothing is looked up. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("expected host:port instead of " + text);
        }
        // guards the event loop: a name would be looked up, and block it
        InetAddress host = NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("expected an address instead of a name in " + text);
        }
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
    }

    /** Nested values as pairs of path and value, in the form of the simulator's first message. */
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
