package reedquay.core;

/** Parses the positions and load reports that members send; used by all fronts. */
public final class LoadReportParser {
    private final String[] names;
    private final long epoch;

    LoadReportParser(String[] names, long epoch) {
        this.names = names;
        this.epoch = epoch;
    }

    /**
     * Converts a position from milliseconds since the epoch to nanoseconds. Members round a position down, but round
     * that of a commit up, so one millisecond is subtracted from the latter.
     */
    public long position(long millis, boolean commit) {
        return epoch + (commit ? millis - 1 : millis) * 1_000_000;
    }

    /** Parses values in the order in which the settings name them. Throws NumberFormatException. */
    public LoadReport parseOrdered(String[] values) {
        if (values.length > names.length) {
            throw new NumberFormatException("more values than names");
        }
        return parse(names, values);
    }

    /** Parses comma-separated pairs name=value. Throws NumberFormatException. */
    public LoadReport parsePairs(String pairs) {
        String[] parts = pairs.isEmpty() ? new String[0] : pairs.split(",");
        String[] keys = new String[parts.length];
        String[] values = new String[parts.length];
        for (int i = 0; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            keys[i] = equals < 0 ? parts[i] : parts[i].substring(0, equals);
            values[i] = equals < 0 ? "" : parts[i].substring(equals + 1);
        }
        return parse(keys, values);
    }

    private LoadReport parse(String[] keys, String[] values) {
        long position = LoadReport.NO_POSITION;
        Role role = Role.UNKNOWN;
        double queueLength = -1;
        double cpuUtilization = -1;
        double inFlight = -1;
        for (int i = 0; i < values.length; i++) {
            if (values[i].isEmpty() || values[i].equals("-")) {
                continue;
            }
            long value = Decimal.parseScaled(values[i], 9);
            switch (keys[i]) {
                case "x0" -> position = epoch + value;
                case "x1" -> role = value >= 500_000_000 ? Role.PRIMARY : Role.REPLICA;
                case "waiting" -> queueLength = value / 1e9;
                case "cpu" -> cpuUtilization = value / 1e9;
                case "active" -> inFlight = value / 1e9;
                default -> { }
            }
        }
        return new LoadReport(position, role, queueLength, cpuUtilization, inFlight);
    }
}
