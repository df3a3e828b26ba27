package reedquay.core;

import java.util.List;

/** What an instance is told at its start; times in nanoseconds, prices as shares of utility. */
public record Settings(long seed, String zone, int index, int gateways, long tick, List<Method> methods,
        List<Tenant> tenants, Allowed allowed, Rules rules, Positions positions, Prices prices) {

    public record Tenant(String name, double quotaPerSecond) { }

    public record Allowed(boolean probes, boolean peers, boolean cancel, boolean overlap, boolean retryAfter,
            long longestRetryAfter, int callOuts, long connectTimeout, boolean listOnRequest) { }

    public record Rules(double coldShare, long coldFor, double coldMultiple, long coldWindow, long drainGrace,
            long answerGrace, long askEvery, boolean onlyDrainingBinds) { }

    /** Where positions come from, and whether members turn away reads they are too far behind for. */
    public record Positions(boolean inAnswers, boolean inAnswerReports, boolean inProbes,
            boolean rememberedTokens, boolean membersCheck) { }

    public record Prices(double crossing, double waste, double probe, double peer, double lateFailure) { }
}
