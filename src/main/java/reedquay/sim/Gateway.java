package reedquay.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedquay.core.CallOut;
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.ListedMember;
import reedquay.core.Member;
import reedquay.core.Method;
import reedquay.core.Outcome;
import reedquay.core.LoadReport;
import reedquay.core.LoadReportParser;
import reedquay.core.Role;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.SettingsReader;

/** One instance: ids become objects here, and the decisions' effects become lines. */
final class Gateway implements RoutingActions {
    final long id;
    private final RoutingEngine decider;
    private final Map<String, Method> methods = new HashMap<>();
    private final Map<String, Member> members = new HashMap<>();
    private final Map<Long, Rpc> rpcs = new HashMap<>();
    private final Set<Integer> groups = new HashSet<>();
    private final Set<String> complained = new HashSet<>();
    private final LoadReportParser reports;
    private final boolean progressTold;
    private final StringBuilder out = new StringBuilder();

    /** The line's rest is the settings. */
    Gateway(long id, long seed, Fields line, SimHost.RoutingEngineFactory maker) {
        this.id = id;
        SettingsReader reader = new SettingsReader(line.pairs());
        Settings settings;
        try {
            settings = reader.readSettings(seed);
            reports = reader.loadReportParser(reader.simulatorEpoch());
        } catch (IllegalArgumentException e) {
            throw line.bad(e.getMessage());
        }
        progressTold = settings.positionSources().inAnswers();
        settings.methods().forEach(m -> methods.put(m.name(), m));
        decider = maker.create(settings, this);
    }

    void begin(long now) {
        decider.beginBatch(now);
    }

    /** Appends what this instance does, under its own heading. */
    void end(StringBuilder reply) {
        decider.endBatch();
        if (out.length() > 0) {
            reply.append("AS ").append(id).append('\n').append(out);
            out.setLength(0);
        }
    }

    void event(String name, Fields line, String[][] lists) {
        switch (name) {
            case "JOB_IN" -> arrived(line);
            case "DONE" -> done(line);
            case "ALARM" -> line.integer("the alarm's name");
            case "MEMBERSHIP" -> membership(line, lists);
            case "HEALTH" -> {
                Member member = member(line);
                Outcome outcome = outcome(line);
                long took = line.millis("the time it took");
                decider.probeEnded(member, outcome, took, report(line));
            }
            case "CLIENT_GONE" -> {
                Rpc rpc = rpcs.get(line.integer("a request id"));
                if (rpc == null) {
                    complain("a client left whose RPC is not known here");
                    return;
                }
                rpc.ended = true;
                decider.clientGone(rpc);
                forget(rpc);
            }
            case "WHISPER" -> {
                line.integer("the sender's number");
                String hex = line.optional("hex digits");
                try {
                    HexFormat.of().parseHex(hex == null ? "" : hex); // nothing is told among gateways
                } catch (IllegalArgumentException e) {
                    throw line.bad("hex digits");
                }
            }
            case "ACCEPTED" -> complain("a stream began, and no method here streams");
            default -> throw line.bad("the name of an event");
        }
    }

    private void arrived(Fields line) {
        long handle = line.integer("a request id");
        int group = (int) line.integerOr(-1, "a group's number");
        String session = line.optional("a session key");
        line.numberOr(0, "a size hint");
        long due = line.millis("the clock time at which the client gives up");
        long opts = line.integerOr(0, "a sum of bit values");
        long tokenAge = line.millisOr(0, "the token's age");
        String tenant = line.optional("a tenant");
        String grade = line.optional("a class");
        Method method = methods.get(grade);
        if (method == null || !groups.contains(group)) {
            complain("an RPC names a method or a group that is not known here");
        }
        Rpc rpc = new Rpc(handle, group, session, due, (opts & 2) != 0, tokenAge, tenant, method);
        rpc.clientId = session;
        rpcs.put(handle, rpc);
        decider.rpcArrived(rpc);
    }

    private void done(Fields line) {
        Rpc rpc = rpcs.get(line.integer("a request id"));
        long stamp = line.integerOr(0, "a stamp");
        int attempt = (int) line.integer("an attempt's number");
        Outcome outcome = outcome(line);
        long took = line.millis("the time it took");
        boolean ended = line.bool("1 or 0");
        line.word("a database server");
        LoadReport report = report(line);
        if (rpc == null || attempt < 0 || attempt >= rpc.callOuts.size() || rpc.callOuts.get(attempt).ended) {
            complain("an outcome came for a call-out that is not known here");
            return;
        }
        CallOut callOut = rpc.callOuts.get(attempt);
        callOut.ended = true;
        rpc.ended |= ended;
        boolean commit = outcome == Outcome.OK && rpc.method.consistency() == Method.Consistency.WRITE;
        long position = progressTold && stamp != 0 ? reports.position(stamp >> 2, commit) : LoadReport.NO_POSITION;
        Role role = (stamp & 3) == 1 ? Role.PRIMARY : (stamp & 3) == 2 ? Role.REPLICA : Role.UNKNOWN;
        decider.callOutEnded(callOut, outcome, took, ended, position, role, report);
        forget(rpc);
    }

    private void membership(Fields line, String[][] lists) {
        ListedMember.ListKind kind = switch (line.word("the form of the list")) {
            case "all" -> ListedMember.ListKind.FULL;
            case "changes" -> ListedMember.ListKind.CHANGES;
            case "remembered" -> ListedMember.ListKind.CACHED;
            case "refused" -> ListedMember.ListKind.REFUSED;
            default -> throw line.bad("all, changes, remembered or refused");
        };
        line.optional("the list's version");
        List<ListedMember> entries = new ArrayList<>();
        if (kind != ListedMember.ListKind.REFUSED) {
            int ref = (int) line.integer("a list number");
            if (ref < 0 || ref > 15 || lists[ref] == null) {
                throw line.bad("the number of a list that was defined");
            }
            for (String text : lists[ref]) {
                entries.add(entry(new Fields(text)));
            }
        }
        decider.membersListed(kind, entries);
    }

    private ListedMember entry(Fields line) {
        line.name();
        Member member = members.computeIfAbsent(line.word("a database server"), Member::new);
        String zone = line.optional("a zone");
        String kind = line.optional("a kind of machine");
        int group = (int) line.integerOr(-1, "a group's number");
        groups.add(group);
        ListedMember.Phase phase = switch (line.word("U, L or D")) {
            case "U" -> ListedMember.Phase.UP;
            case "L" -> ListedMember.Phase.DRAINING;
            case "D" -> ListedMember.Phase.GONE;
            default -> throw line.bad("U, L or D");
        };
        boolean leads = line.numberOr(0, "1 for the primary") == 1;
        double heft = line.numberOr(1, "a size");
        long startedAt = line.millisOr(0, "the time of its start");
        return new ListedMember(member, zone, kind, group, phase, leads, heft, startedAt);
    }

    private Member member(Fields line) {
        Member member = members.get(line.word("a database server"));
        if (member == null) {
            throw line.bad("a database server that a list has named");
        }
        return member;
    }

    private static Outcome outcome(Fields line) {
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
            default -> throw line.bad("an outcome");
        };
    }

    private LoadReport report(Fields line) {
        String row = line.optional("a load report");
        if (row == null) {
            return LoadReport.NONE;
        }
        try {
            return reports.parseOrdered(row.split(",", -1));
        } catch (NumberFormatException | ArithmeticException e) {
            throw line.bad("numbers, no more than there are report names");
        }
    }

    private void forget(Rpc rpc) {
        if (rpc.ended && rpc.callOuts.stream().allMatch(c -> c.ended)) {
            rpcs.remove(rpc.id);
        }
    }

    private void complain(String text) {
        if (complained.add(text)) {
            log(text);
        }
    }

    private StringBuilder timed(String name, long nanos) {
        out.append(name).append(' ');
        Fields.appendMillis(out, nanos);
        return out;
    }

    @Override public void sendCallOut(CallOut callOut, long limit) {
        out.append("DELIVER ").append(callOut.rpc.id).append(' ');
        timed(callOut.member.id, limit).append('\n');
    }

    @Override public void proceed(CallOut callOut) {
        assert false : "the simulator's connections are not the gateway's";
    }

    @Override public void cancel(CallOut callOut) {
        out.append("ABANDON ").append(callOut.rpc.id).append(' ');
        out.append(callOut.rpc.callOuts.indexOf(callOut)).append('\n');
    }

    @Override public void pushBack(Rpc rpc, long after) {
        out.append("PUSH_BACK ").append(rpc.id).append(' ');
        Fields.appendMillis(out, after);
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
        // the simulator's connections are not the gateway's
    }

    @Override public void forgetMember(Member member) {
        members.remove(member.id);
    }

    @Override public void scheduleWakeUp(long delay) {
        timed("SET_ALARM", delay).append(" 0\n");
    }

    @Override public void requestMemberList() {
        out.append("OBSERVE 1\n");
    }

    @Override public void log(String line) {
        out.append("EMIT ").append(line.replace('\n', ' ')).append('\n');
    }
}
