package reedquay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads the settings from a map of paths to values, for all fronts; unknown paths are ignored. */
public final class SettingsReader {
    private final Map<String, String> values;

    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Reads the settings. Throws IllegalArgumentException for a value that cannot be parsed. */
    public Settings readSettings(long seed) {
        List<Method> methods = new ArrayList<>();
        String[] consistencies = list("Domain.ClassRead");
        String[] maxAges = list("Domain.MaxAge");
        for (int i = 0; i < (int) number("Grades.count", 0); i++) {
            String prefix = "Grades." + i + ".";
            methods.add(new Method(text(prefix + "Name", ""),
                    consistency(i < consistencies.length ? consistencies[i] : "fresh"),
                    i < maxAges.length ? millis(maxAges[i]) : 0, time(prefix + "OnTime", 0), time(prefix + "GiveUp", 0),
                    number(prefix + "Worth", 1), number(prefix + "LateWorth", 0),
                    retrySafety(text(prefix + "Repeat", "single_shot")),
                    deduplicationScope(text(prefix + "Group", "cell")),
                    time(prefix + "Window", 0)));
        }
        List<Settings.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) number("Tenants.count", 0); i++) {
            tenants.add(new Settings.Tenant(text("Tenants." + i + ".Name", ""),
                    number("Tenants." + i + ".QuotaPerS", Double.MAX_VALUE)));
        }
        String reportMode = text("Report.How", "silent");
        boolean reportsPosition = List.of(list("Report.Names")).contains("x0");
        return new Settings(seed, text("MyZone", ""), (int) number("Index", 0),
                Math.max(1, (int) number("PeersTotal", 1)), time("Tick", 1), methods, tenants,
                new Settings.Capabilities(flag("Allowed.Probes"), flag("Allowed.Peers"), flag("Allowed.Cancel"),
                        flag("Allowed.MayDuplicate"), flag("Allowed.RetryAfter"),
                        time("Allowed.MaxRetryAfter", 0), (int) number("Allowed.SendCap", 1),
                        time("Allowed.ConnectTimeout", 0),
                        text("RegistryMode", "pushed").equals("on_request")),
                new Settings.Rules(number("Rules.ColdShare", 1), time("Rules.Cold", 0),
                        number("Rules.OverloadFactor", 1), time("Rules.Fall", 0), time("Rules.DrainGrace", 0),
                        time("Rules.GraceToAnswer", 0), time("Rules.AskEvery", 0),
                        flag("Rules.DroppedStayOpen")),
                new Settings.PositionSources(flag("Domain.ProgressTold"),
                        reportMode.equals("piggyback") && reportsPosition,
                        !reportMode.equals("silent") && reportsPosition,
                        text("Domain.TokenMode", "carried").equals("remembered"),
                        !text("Domain.Guards", "silent").equals("silent")),
                new Settings.Costs(number("Deductions.CrossZone", 0), number("Deductions.Waste", 0),
                        number("Deductions.Probe", 0), number("Deductions.Peer", 0),
                        number("Deductions.LateFail", 0)));
    }

    @Override public boolean equals(Object other) {
        return other instanceof SettingsReader that && values.equals(that.values);
    }

    @Override public int hashCode() {
        return values.hashCode();
    }

    /** A parser of load reports and of positions, which count from the given epoch in nanoseconds. */
    public LoadReportParser loadReportParser(long epoch) {
        return new LoadReportParser(list("Report.Names"), epoch);
    }

    /** The clock time in nanoseconds from which the simulator counts positions; elsewhere they are Unix times. */
    public long simulatorEpoch() {
        return time("Domain.CountedFrom", 0);
    }

    /** How long a connection may be idle, in nanoseconds, before the member closes it. */
    public long keepaliveTimeout() {
        return time("Allowed.Keepalive", 0);
    }

    private static Method.Consistency consistency(String value) {
        return switch (value) {
            case "write" -> Method.Consistency.WRITE;
            case "session" -> Method.Consistency.SESSION;
            case "bounded" -> Method.Consistency.BOUNDED;
            case "any" -> Method.Consistency.ANY;
            default -> Method.Consistency.FRESH;
        };
    }

    private static Method.RetrySafety retrySafety(String value) {
        return switch (value) {
            case "free" -> Method.RetrySafety.IDEMPOTENT;
            case "guarded" -> Method.RetrySafety.TOKENED;
            default -> Method.RetrySafety.NON_IDEMPOTENT;
        };
    }

    private static Method.DeduplicationScope deduplicationScope(String value) {
        return switch (value) {
            case "all" -> Method.DeduplicationScope.ALL;
            case "zone", "same_zone" -> Method.DeduplicationScope.ZONE;
            default -> Method.DeduplicationScope.GROUP;
        };
    }

    private String text(String path, String defaultValue) {
        return values.getOrDefault(path, defaultValue);
    }

    private String[] list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean flag(String path) {
        return text(path, "false").equals("true") || text(path, "false").equals("1");
    }

    private double number(String path, double defaultValue) {
        String value = values.get(path);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalid("a number for " + path);
        }
    }

    private long time(String path, long defaultValue) {
        String value = values.get(path);
        return value == null ? defaultValue : millis(value);
    }

    private long millis(String value) {
        try {
            return Decimal.parseScaled(value, 6);
        } catch (NumberFormatException | ArithmeticException e) {
            throw invalid("a time in milliseconds instead of " + value);
        }
    }

    private static IllegalArgumentException invalid(String expected) {
        return new IllegalArgumentException("expected " + expected);
    }
}
