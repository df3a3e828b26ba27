package reedquay.core;

/** Turns the numbers that members tell into positions and load reports, the same for all fronts. */
public final class LoadReportParser {
    private final String[] names;
    private final long zero;

    LoadReportParser(String[] names, long zero) {
        this.names = names;
        this.zero = zero;
    }

    /** A position in milliseconds: told rounded down, but a commit, which is rounded up. */
    public long position(long millis, boolean commit) {
        return zero + (commit ? millis - 1 : millis) * 1_000_000;
    }

    /** Values in the order that the settings name them. Throws NumberFormatException. */
    public LoadReport parseOrdered(String[] values) {
        if (values.length > names.length) {
            throw new NumberFormatException("more values than names");
        }
        return read(names, values);
    }

    /** Pairs name=value set apart by commas. Throws NumberFormatException. */
    public LoadReport parsePairs(String pairs) {
        String[] parts = pairs.isEmpty() ? new String[0] : pairs.split(",");
        String[] keys = new String[parts.length];
        String[] values = new String[parts.length];
        for (int i = 0; i < parts.length; i++) {
            int eq = parts[i].indexOf('=');
            keys[i] = eq < 0 ? parts[i] : parts[i].substring(0, eq);
            values[i] = eq < 0 ? "" : parts[i].substring(eq + 1);
        }
        return read(keys, values);
    }

    private LoadReport read(String[] keys, String[] values) {
        long position = LoadReport.NO_POSITION;
        Role role = Role.UNKNOWN;
        double queue = -1;
        double busy = -1;
        double inFlight = -1;
        for (int i = 0; i < values.length; i++) {
            if (values[i].isEmpty() || values[i].equals("-")) {
                continue;
            }
            long value = Decimal.parseScaled(values[i], 9);
            switch (keys[i]) {
                case "x0" -> position = zero + value;
                case "x1" -> role = value >= 500_000_000 ? Role.PRIMARY : Role.REPLICA;
                case "waiting" -> queue = value / 1e9;
                case "cpu" -> busy = value / 1e9;
                case "active" -> inFlight = value / 1e9;
                default -> { }
            }
        }
        return new LoadReport(position, role, queue, busy, inFlight);
    }
}
