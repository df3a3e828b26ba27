package reedquay.lab.soak;

import example.StandIn;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The members' record of the statements that they received, by the id of the request. Thread-safe. */
final class Arrivals {
    private static final Pattern ID = Pattern.compile("/\\* id=([0-9a-f]+),");

    /** One statement received; drainingMillis: how long its member had been listed as draining, -1 if it was not. */
    record Arrival(long at, String member, boolean mayHaveRun, long drainingMillis) { }

    private final Map<String, List<Arrival>> byId = new ConcurrentHashMap<>();
    private final Map<String, Long> drainingSince = new ConcurrentHashMap<>();

    /** Discovery has listed the member as draining, or as ready again. */
    void setDraining(String member, boolean draining) {
        if (draining) {
            drainingSince.put(member, System.nanoTime());
        } else {
            drainingSince.remove(member);
        }
    }

    void record(StandIn.Server server, String statement) {
        Matcher matcher = ID.matcher(statement);
        if (!matcher.find()) {
            return;
        }
        long now = System.nanoTime();
        Long since = drainingSince.get(server.name);
        boolean rejected = server.fault.matches("53300|72000") || statement.contains("INSERT") && !server.primary;
        byId.computeIfAbsent(matcher.group(1), id -> new CopyOnWriteArrayList<>()).add(new Arrival(now, server.name,
                !rejected, since == null ? -1 : (now - since) / 1_000_000));
    }

    List<Arrival> of(String id) {
        return byId.getOrDefault(id, List.of());
    }
}
