package reedquay.core;

import java.util.List;

/** The settings of a gateway instance, fixed at its start; times in nanoseconds, costs as parts of the utility. */
public record Settings(long seed, String zone, int gatewayIndex, int gatewayCount, long tick, List<Method> methods,
        List<Tenant> tenants, Capabilities capabilities, Rules rules, PositionSources positionSources, Costs costs) {

    /** A tenant and its quota of RPCs for all gateways together. */
    public record Tenant(String name, double quotaPerSecond) { }

    /**
     * What the gateway may do. hedging: send a call-out while an earlier one is in flight; maxCallOuts: per RPC;
     * memberListOnRequest: the member list is sent on request only.
     */
    public record Capabilities(boolean probes, boolean peerMessages, boolean cancel, boolean hedging,
            boolean retryAfter, long maxRetryAfter, int maxCallOuts, long connectTimeout,
            boolean memberListOnRequest) { }

    /**
     * The limits on cold, draining and departed members. A cold member's share of a warm one's capacity rises from
     * coldShare to one within coldDuration; in each coldWindow it gets at most coldCapacityMultiple times that.
     * drainGrace: how soon a reported drain must take effect; goneMembersStayUsable: a member that is listed as gone
     * stays in use, unless it was listed as draining.
     */
    public record Rules(double coldShare, long coldDuration, double coldCapacityMultiple, long coldWindow,
            long drainGrace, long answerGrace, long memberListInterval, boolean goneMembersStayUsable) { }

    /** Where positions come from, who keeps session tokens, and whether members reject reads when they lag too far. */
    public record PositionSources(boolean inAnswers, boolean inAnswerReports, boolean inProbes,
            boolean gatewayRemembersTokens, boolean membersRejectStaleReads) { }

    /** The deductions from utility. */
    public record Costs(double crossZone, double wastedWork, double probe, double peerMessage, double lateFailure) { }

    private static final long DEFAULT_SOFT_DEADLINE = 1_000_000_000;

    /** The shortest soft deadline of all methods that have one. */
    public long shortestSoftDeadline() {
        return methods.stream().mapToLong(Method::softDeadline).filter(d -> d > 0).min().orElse(DEFAULT_SOFT_DEADLINE);
    }

    /** The retry-after of a pushback whose reason gives no better estimate; 0 where the client may be given none. */
    public long standardRetryAfter() {
        return capabilities.retryAfter() ? Math.min(shortestSoftDeadline() / 4, capabilities.maxRetryAfter()) : 0;
    }
}
