package reedquay.core;

import java.util.List;

/** What an instance is told at its start; times in nanoseconds, prices as shares of utility. */
public record Settings(long seed, String zone, int gatewayIndex, int gatewayCount, long tick, List<Method> methods,
        List<Tenant> tenants, Capabilities capabilities, Rules rules, PositionSources positionSources, Costs costs) {

    public record Tenant(String name, double quotaPerSecond) { }

    public record Capabilities(boolean probes, boolean peerMessages, boolean cancel, boolean hedging, boolean retryAfter,
            long maxRetryAfter, int maxCallOuts, long connectTimeout, boolean memberListOnRequest) { }

    public record Rules(double coldShare, long coldDuration, double coldCapacityMultiple, long coldWindow, long drainGrace,
            long answerGrace, long memberListInterval, boolean goneMembersStayUsable) { }

    /** Where positions come from, and whether members turn away reads they are too far behind for. */
    public record PositionSources(boolean inAnswers, boolean inAnswerReports, boolean inProbes,
            boolean gatewayRemembersTokens, boolean membersRejectStaleReads) { }

    public record Costs(double crossZone, double wastedWork, double probe, double peerMessage, double lateFailure) { }
}
