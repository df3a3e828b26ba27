package reedquay.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedquay.core.CallOut;
import reedquay.core.ListedMember;
import reedquay.core.LoadReport;
import reedquay.core.LoadReportParser;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.Role;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.SettingsReader;

/**
 * One gateway instance of the simulator. Converts the lines of its events to inputs of its routing engine, and the
 * engine's actions to lines of the reply.
 */
final class SimGateway implements RoutingActions {
    final long id;
    private final RoutingEngine engine;
    private final Map<String, Method> methods = new HashMap<>();
    private final Map<String, Member> members = new HashMap<>();
    private final Map<Long, Rpc> rpcs = new HashMap<>();
    private final Set<Integer> knownGroups = new HashSet<>();
    private final Set<String> loggedMessages = new HashSet<>();
    private final LoadReportParser reportParser;
    private final boolean positionsInAnswers;
    private final StringBuilder out = new StringBuilder();

    /** Reads the settings from the remaining fields of the SPAWN line. */
    SimGateway(long id, long seed, LineReader line, SimHost.RoutingEngineFactory factory) {
        this.id = id;
        SettingsReader settingsReader = new SettingsReader(line.remainingPairs());
        Settings settings;
        try {
            settings = settingsReader.readSettings(seed);
            reportParser = settingsReader.loadReportParser(settingsReader.simulatorEpoch());
        } catch (IllegalArgumentException e) {
            throw line.malformed(e.getMessage());
        }
        positionsInAnswers = settings.positionSources().inAnswers();
        settings.methods().forEach(method -> methods.put(method.name(), method));
        engine = factory.create(settings, this);
    }

    /** Begins a batch at the given clock time, in nanoseconds. */
    void begin(long now) {
        engine.beginBatch(now);
    }

    /** Ends the batch and appends this instance's actions under an AS line; nothing if there are none. */
    void end(StringBuilder reply) {
        engine.endBatch();
        if (out.length() > 0) {
            reply.append("AS ").append(id).append('\n').append(out);
            out.setLength(0);
        }
    }

    /** Handles the event of that name, whose fields follow in the line; lists: the member lists defined so far. */
    void handle(String name, LineReader line, String[][] lists) {
        switch (name) {
            case "JOB_IN" -> rpcArrived(line);
            case "DONE" -> callOutEnded(line);
            case "ALARM" -> line.integer("an alarm number");
            case "MEMBERSHIP" -> membershipChanged(line, lists);
            case "HEALTH" -> {
                Member member = parseMember(line);
                Outcome outcome = parseOutcome(line);
                long latency = line.millis("a duration in milliseconds");
                engine.probeEnded(member, outcome, latency, parseReport(line));
            }
            case "CLIENT_GONE" -> {
                Rpc rpc = rpcs.get(line.integer("a request id"));
                if (rpc == null) {
                    logOnce("a client disconnected from an unknown RPC");
                    return;
                }
                rpc.ended = true;
                engine.clientGone(rpc);
                forget(rpc);
            }
            case "WHISPER" -> {
                line.integer("the sender's instance number");
                String hex = line.optional("hex digits");
                try {
                    HexFormat.of().parseHex(hex == null ? "" : hex); // validated and ignored: gateways exchange no data
                } catch (IllegalArgumentException e) {
                    throw line.malformed("hex digits");
                }
            }
            case "ACCEPTED" -> logOnce("received ACCEPTED for a stream, but no method streams");
            default -> throw line.malformed("an event name");
        }
    }

    private void rpcArrived(LineReader line) {
        long rpcId = line.integer("a request id");
        int group = (int) line.integerOr(-1, "a group number");
        String session = line.optional("a session key");
        line.numberOr(0, "a size hint");
        long deadline = line.millis("the clock time of the client's deadline in milliseconds");
        long options = line.integerOr(0, "a sum of option bits");
        long sessionTokenAge = line.millisOr(0, "the session token's age in milliseconds");
        String tenant = line.optional("a tenant");
        String methodName = line.optional("a method name");
        Method method = methods.get(methodName);
        if (method == null || !knownGroups.contains(group)) {
            logOnce("an RPC names an unknown method or group");
        }
        Rpc rpc = new Rpc(rpcId, group, session, deadline, (options & 2) != 0, sessionTokenAge, tenant, method);
        rpc.clientId = session;
        rpcs.put(rpcId, rpc);
        engine.rpcArrived(rpc);
    }

    private void callOutEnded(LineReader line) {
        Rpc rpc = rpcs.get(line.integer("a request id"));
        long stamp = line.integerOr(0, "a stamp");
        int attempt = (int) line.integer("a call-out number");
        Outcome outcome = parseOutcome(line);
        long latency = line.millis("a duration in milliseconds");
        boolean rpcEnded = line.bool("1 or 0 for whether the RPC has ended");
        line.word("a database server");
        LoadReport report = parseReport(line);
        if (rpc == null || attempt < 0 || attempt >= rpc.callOuts.size() || rpc.callOuts.get(attempt).ended) {
            logOnce("an outcome was received for an unknown call-out");
            return;
        }
        CallOut callOut = rpc.callOuts.get(attempt);
        callOut.ended = true;
        rpc.ended |= rpcEnded;
        boolean commit = outcome == Outcome.OK && rpc.method.consistency() == Method.Consistency.WRITE;
        // the stamp holds the position in milliseconds, and in its two lowest bits the role
        long position = positionsInAnswers && stamp != 0
                ? reportParser.position(stamp >> 2, commit) : LoadReport.NO_POSITION;
        Role role = (stamp & 3) == 1 ? Role.PRIMARY : (stamp & 3) == 2 ? Role.REPLICA : Role.UNKNOWN;
        engine.callOutEnded(callOut, outcome, latency, rpcEnded, position, role, report);
        forget(rpc);
    }

    private void membershipChanged(LineReader line, String[][] lists) {
        ListedMember.ListKind kind = switch (line.word("a kind of list")) {
            case "all" -> ListedMember.ListKind.FULL;
            case "changes" -> ListedMember.ListKind.CHANGES;
            case "remembered" -> ListedMember.ListKind.CACHED;
            case "refused" -> ListedMember.ListKind.REFUSED;
            default -> throw line.malformed("all, changes, remembered or refused");
        };
        line.optional("a list version");
        List<ListedMember> entries = new ArrayList<>();
        if (kind != ListedMember.ListKind.REFUSED) {
            int listNumber = (int) line.integer("a list number");
            if (listNumber < 0 || listNumber > 15 || lists[listNumber] == null) {
                throw line.malformed("the number of a defined list");
            }
            for (String text : lists[listNumber]) {
                entries.add(parseEntry(new LineReader(text)));
            }
        }
        engine.membersListed(kind, entries);
    }

    private ListedMember parseEntry(LineReader line) {
        line.messageName();
        Member member = members.computeIfAbsent(line.word("a database server"), Member::new);
        String zone = line.optional("a zone");
        String machineType = line.optional("a machine type");
        int group = (int) line.integerOr(-1, "a group number");
        knownGroups.add(group);
        ListedMember.Phase phase = switch (line.word("U, L or D")) {
            case "U" -> ListedMember.Phase.UP;
            case "L" -> ListedMember.Phase.DRAINING;
            case "D" -> ListedMember.Phase.GONE;
            default -> throw line.malformed("U, L or D");
        };
        boolean primary = line.numberOr(0, "1 for a primary or 0") == 1;
        double weight = line.numberOr(1, "a weight");
        long startedAt = line.millisOr(0, "the start time of the process in milliseconds");
        return new ListedMember(member, zone, machineType, group, phase, primary, weight, startedAt);
    }

    private Member parseMember(LineReader line) {
        Member member = members.get(line.word("a database server"));
        if (member == null) {
            throw line.malformed("a database server that a list names");
        }
        return member;
    }

    private static Outcome parseOutcome(LineReader line) {
        return switch (line.word("an outcome")) {
            case "GOOD" -> Outcome.OK;
            case "BAD" -> Outcome.ERROR;
            case "FULL" -> Outcome.FULL;
            case "LATE" -> Outcome.TIMED_OUT;
            case "NOCONN" -> Outcome.NO_CONNECTION;
            case "RST" -> Outcome.RESET;
            case "CXL" -> Outcome.CANCELLED;
            case "NOP" -> Outcome.NEVER_SENT;
            case "MISS" -> Outcome.MISS;
            default -> throw line.malformed("an outcome");
        };
    }

    private LoadReport parseReport(LineReader line) {
        String values = line.optional("a load report");
        if (values == null) {
            return LoadReport.NONE;
        }
        try {
            return reportParser.parseOrdered(values.split(",", -1));
        } catch (NumberFormatException | ArithmeticException e) {
            throw line.malformed("numbers separated by commas, at most as many as the settings name");
        }
    }

    /** Removes the RPC once it and all its call-outs have ended. */
    private void forget(Rpc rpc) {
        if (rpc.ended && rpc.callOuts.stream().allMatch(callOut -> callOut.ended)) {
            rpcs.remove(rpc.id);
        }
    }

    private void logOnce(String message) {
        if (loggedMessages.add(message)) {
            log(message);
        }
    }

    private StringBuilder appendWithMillis(String prefix, long nanos) {
        out.append(prefix).append(' ');
        LineReader.appendMillis(out, nanos);
        return out;
    }

    @Override public void sendCallOut(CallOut callOut, long limit) {
        out.append("DELIVER ").append(callOut.rpc.id).append(' ');
        appendWithMillis(callOut.member.id, limit).append('\n');
    }

    @Override public void proceed(CallOut callOut) {
        assert false : "the simulator opens the connections, so no call-out waits for one";
    }

    @Override public void cancel(CallOut callOut) {
        out.append("ABANDON ").append(callOut.rpc.id).append(' ');
        out.append(callOut.rpc.callOuts.indexOf(callOut)).append('\n');
    }

    @Override public void pushBack(Rpc rpc, long retryAfter) {
        out.append("PUSH_BACK ").append(rpc.id).append(' ');
        LineReader.appendMillis(out, retryAfter);
        out.append('\n');
        rpc.ended = true;
        forget(rpc);
    }

    @Override public void abort(Rpc rpc) {
        out.append("ABORT ").append(rpc.id).append('\n');
        rpc.ended = true;
        forget(rpc);
    }

    @Override public void probe(Member member) {
        out.append("SAMPLE ").append(member.id).append('\n');
    }

    @Override public void closeIdleConnections(Member member) {
        // the simulator manages the connections
    }

    @Override public void forgetMember(Member member) {
        members.remove(member.id);
    }

    @Override public void scheduleWakeUp(long delay) {
        appendWithMillis("SET_ALARM", delay).append(" 0\n");
    }

    @Override public void requestMemberList() {
        out.append("OBSERVE 1\n");
    }

    @Override public void log(String message) {
        out.append("EMIT ").append(message.replace('\n', ' ')).append('\n');
    }
}
