package reedquay.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads the settings of any front from pairs of path and value; paths it does not know are passed over. */
public final class SettingsReader {
    private final Map<String, String> values;

    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Throws IllegalArgumentException where a value is not of its kind. */
    public Settings readSettings(long seed) {
        List<Method> methods = new ArrayList<>();
        String[] needs = list("Domain.ClassRead");
        String[] ages = list("Domain.MaxAge");
        for (int i = 0; i < (int) number("Grades.count", 0); i++) {
            String at = "Grades." + i + ".";
            methods.add(new Method(text(at + "Name", ""), need(i < needs.length ? needs[i] : "fresh"),
                    i < ages.length ? millis(ages[i]) : 0, time(at + "OnTime", 0), time(at + "GiveUp", 0),
                    number(at + "Worth", 1), number(at + "LateWorth", 0),
                    effect(text(at + "Repeat", "single_shot")), scope(text(at + "Group", "cell")),
                    time(at + "Window", 0)));
        }
        List<Settings.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) number("Tenants.count", 0); i++) {
            tenants.add(new Settings.Tenant(text("Tenants." + i + ".Name", ""),
                    number("Tenants." + i + ".QuotaPerS", Double.MAX_VALUE)));
        }
        String how = text("Report.How", "silent");
        boolean x0 = List.of(list("Report.Names")).contains("x0");
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
                new Settings.PositionSources(flag("Domain.ProgressTold"), how.equals("piggyback") && x0,
                        !how.equals("silent") && x0, text("Domain.TokenMode", "carried").equals("remembered"),
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

    /** Reads load reports and positions, which count from the given zero. */
    public LoadReportParser loadReportParser(long zero) {
        return new LoadReportParser(list("Report.Names"), zero);
    }

    /** The clock time from which the simulator counts positions; elsewhere they are Unix times. */
    public long simulatorEpoch() {
        return time("Domain.CountedFrom", 0);
    }

    /** How long a connection may be idle before the member closes it. */
    public long keepaliveTimeout() {
        return time("Allowed.Keepalive", 0);
    }

    private static Method.Consistency need(String word) {
        return switch (word) {
            case "write" -> Method.Consistency.WRITE;
            case "session" -> Method.Consistency.SESSION;
            case "bounded" -> Method.Consistency.BOUNDED;
            case "any" -> Method.Consistency.ANY;
            default -> Method.Consistency.FRESH;
        };
    }

    private static Method.RetrySafety effect(String word) {
        return switch (word) {
            case "free" -> Method.RetrySafety.IDEMPOTENT;
            case "guarded" -> Method.RetrySafety.TOKENED;
            default -> Method.RetrySafety.NON_IDEMPOTENT;
        };
    }

    private static Method.DeduplicationScope scope(String word) {
        return switch (word) {
            case "all" -> Method.DeduplicationScope.ALL;
            case "zone", "same_zone" -> Method.DeduplicationScope.ZONE;
            default -> Method.DeduplicationScope.GROUP;
        };
    }

    private String text(String path, String absent) {
        return values.getOrDefault(path, absent);
    }

    private String[] list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean flag(String path) {
        return text(path, "false").equals("true") || text(path, "false").equals("1");
    }

    private double number(String path, double absent) {
        String value = values.get(path);
        try {
            return value == null ? absent : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw bad("a number for " + path);
        }
    }

    private long time(String path, long absent) {
        String value = values.get(path);
        return value == null ? absent : millis(value);
    }

    private long millis(String value) {
        try {
            return Decimal.parseScaled(value, 6);
        } catch (NumberFormatException | ArithmeticException e) {
            throw bad("a time in milliseconds instead of " + value);
        }
    }

    private static IllegalArgumentException bad(String expected) {
        return new IllegalArgumentException("expected " + expected);
    }
}
