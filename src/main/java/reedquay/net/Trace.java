package reedquay.net;

import java.util.List;
import reedquay.core.CallOut;
import reedquay.core.ListedMember;
import reedquay.core.Outcome;
import reedquay.core.Rpc;

/**
 * The way of each RPC through this gateway, a line an event with the RPC's id first, where the logger takes debug
 * lines when the gateway is made; else no line is made. Ids are those of the wire, so that one RPC and its client's
 * further tries can be followed through the logs of many gateways.
 */
final class Trace {
    private static final System.Logger LOG = System.getLogger("reedquay.trace");
    final boolean enabled = LOG.isLoggable(System.Logger.Level.DEBUG);

    private static void line(String text) {
        LOG.log(System.Logger.Level.DEBUG, text);
    }

    private static String id(Rpc rpc) {
        return "rpc " + Long.toHexString(rpc.id);
    }

    void rpcAccepted(Rpc rpc, long now) {
        if (enabled) {
            line(id(rpc) + " taken: " + rpc.method.name() + ", group " + rpc.group + (rpc.retry ? ", a retry" : "")
                    + ", due in " + (rpc.deadline - now) / 1_000_000 + " ms");
        }
    }

    void callOutSent(CallOut call) {
        if (enabled) {
            line(id(call.rpc) + " sent to " + call.member.id);
        }
    }

    void callOutEnded(CallOut call, Outcome outcome, long took) {
        if (enabled) {
            line(id(call.rpc) + " " + outcome + " of " + call.member.id + " after " + took / 1_000_000 + " ms");
        }
    }

    /** why: what the decisions went by, asked only where it is wanted. */
    void rpcEnded(Rpc rpc, String how, String why) {
        if (enabled) {
            line(id(rpc) + " " + how + (why.isEmpty() ? "" : ": " + why));
        }
    }

    /** Guards the reader of a log against guessing when this gateway was told: only what is not up is of interest. */
    void membersListed(List<ListedMember> entries) {
        if (enabled) {
            entries.stream().filter(e -> e.phase() != ListedMember.Phase.UP)
                    .forEach(e -> line("listed " + e.member().id + " " + e.phase()));
        }
    }
}
