package reedquay.net;

import java.util.List;
import reedquay.core.CallOut;
import reedquay.core.ListedMember;
import reedquay.core.Outcome;
import reedquay.core.Rpc;

/**
 * Debug log of the events of each RPC, one line per event, with the RPC's id first. Enabled if the logger accepts
 * debug lines when the gateway is created; otherwise no line is built. Ids are those of the wire, so that an RPC and
 * its client's retries can be followed through the logs of many gateways.
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

    void callOutSent(CallOut callOut) {
        if (enabled) {
            line(id(callOut.rpc) + " sent to " + callOut.member.id);
        }
    }

    void callOutEnded(CallOut callOut, Outcome outcome, long took) {
        if (enabled) {
            line(id(callOut.rpc) + " " + outcome + " of " + callOut.member.id + " after " + took / 1_000_000 + " ms");
        }
    }

    /** reason: what the routing engine based its decision on; empty for none. */
    void rpcEnded(Rpc rpc, String outcome, String reason) {
        if (enabled) {
            line(id(rpc) + " " + outcome + (reason.isEmpty() ? "" : ": " + reason));
        }
    }

    /** rpc: the one in flight on the connection, null for none; sincePolled: the time since the sockets were polled. */
    void sessionClosing(String connectionId, CloseReason reason, Rpc rpc, long sincePolled) {
        if (enabled) {
            line((rpc == null ? "" : id(rpc) + " ") + "session " + connectionId + " closes: " + reason + ", "
                    + sincePolled / 1_000 + " us after the sockets were polled");
        }
    }

    /** Logs when this gateway was notified of members that are not UP. */
    void membersListed(List<ListedMember> entries) {
        if (enabled) {
            entries.stream().filter(e -> e.phase() != ListedMember.Phase.UP)
                    .forEach(e -> line("listed " + e.member().id + " " + e.phase()));
        }
    }
}
