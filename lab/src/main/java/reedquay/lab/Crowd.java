package reedquay.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.Method;
import reedquay.core.Settings;
import reedquay.core.Stage;
import reedquay.core.Rpc;
import reedquay.fair.AdmissionSettings;
import reedquay.fair.AdmissionController;
import reedquay.lab.Street.Manner;
import reedquay.lab.Street.Stream;
import reedquay.route.Router;

/** Scenes before a door, the same for tests and experiments. One gateway, a primary and two replicas. */
public final class Crowd {
    public static final long MS = Street.MS;
    public static final Method CHEAP = read("cheap", 1);
    public static final Method DEAR = read("dear", 1);
    public static final Method WRITE = new Method("write", Method.Consistency.WRITE, 0, 400 * MS, 1500 * MS, 3, 0.5,
            Method.RetrySafety.TOKENED, Method.DeduplicationScope.GROUP, 1000 * MS);
    public static final Method ONCE = new Method("once", Method.Consistency.WRITE, 0, 400 * MS, 1500 * MS, 3, 0.5,
            Method.RetrySafety.NON_IDEMPOTENT, Method.DeduplicationScope.GROUP, 0);
    public static final long CHEAP_WORK = 10 * MS;
    public static final long DEAR_WORK = 60 * MS;
    /** Cheap reads a second that the two replicas can do. */
    public static final double CAPACITY = 400;

    /** What stands before the Router. */
    public enum Before { NOTHING, FIRST_COME, TENANTS, CLIENTS }

    private Crowd() { }

    private static Method read(String name, double utility) {
        return new Method(name, Method.Consistency.ANY, 0, 400 * MS, 1500 * MS, utility, 0, Method.RetrySafety.IDEMPOTENT,
                Method.DeduplicationScope.ALL, 0);
    }

    public static Settings settings(Settings.Tenant... tenants) {
        return new Settings(11, "a", 0, 1, 5 * MS, List.of(CHEAP, DEAR, WRITE, ONCE), List.of(tenants),
                new Settings.Capabilities(true, false, true, true, true, 1000 * MS, 6, 250 * MS, false),
                new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS, false),
                new Settings.PositionSources(true, false, true, false, false), new Settings.Costs(0, 0, 0, 0, 0));
    }

    /** Three tenants of equal shares, above what is asked for, so that the Router itself turns none away for it. */
    public static Settings three() {
        return settings(new Settings.Tenant("red", 1000), new Settings.Tenant("green", 1000),
                new Settings.Tenant("blue", 1000));
    }

    public static BiFunction<Settings, RoutingActions, RoutingEngine> door(Before before, int waiting) {
        return (settings, effects) -> {
            if (before == Before.NOTHING) {
                return new Router(settings, effects);
            }
            Settings told = before != Before.FIRST_COME ? settings : new Settings(settings.seed(), settings.zone(),
                    settings.gatewayIndex(), settings.gatewayCount(), settings.tick(), settings.methods(), List.of(),
                    settings.capabilities(), settings.rules(), settings.positionSources(), settings.costs());
            AdmissionController turns = new AdmissionController(told, new AdmissionSettings(waiting, Map.of()), effects);
            Stage first = before == Before.CLIENTS ? turns : new Stage(turns) {
                @Override public void rpcArrived(Rpc rpc) { // tells the door less than it could know
                    rpc.clientId = before == Before.FIRST_COME ? "all" : null;
                    next.rpcArrived(rpc);
                }
            };
            turns.setNext(new Router(settings, turns));
            return first == turns ? turns : first.setNext(turns);
        };
    }

    public static Street street(Settings settings, long seed, Before before, int waiting) {
        return street(settings, seed, before, waiting, 2);
    }

    /** The same with so many cores a member. */
    public static Street street(Settings settings, long seed, Before before, int waiting, int cores) {
        return new Street(settings, seed, door(before, waiting)).group(2, cores)
                .work(CHEAP, CHEAP_WORK).work(DEAR, DEAR_WORK).work(WRITE, 5 * MS).work(ONCE, 5 * MS);
    }

    /** Even clients that ask for a part of the capacity together. */
    public static List<Stream> even(Street street, String tenant, int clients, Method method, double part,
            Manner manner, long until) {
        List<Stream> all = new ArrayList<>();
        double each = part * CAPACITY * CHEAP_WORK / (method == DEAR ? DEAR_WORK : CHEAP_WORK) / clients;
        for (int i = 0; i < clients; i++) {
            Stream s = new Stream(tenant, tenant + i, method, each, manner, 0, until);
            street.add(s);
            all.add(s);
        }
        return all;
    }

    public static double share(List<Stream> streams) {
        double had = 0;
        double all = 0;
        for (Stream s : streams) {
            had += s.utility;
            all += s.requests * s.method.utility();
        }
        return all == 0 ? 1 : had / all;
    }

    /** Jain's index: 1 where all are the same. */
    public static double jain(double[] had) {
        double sum = 0;
        double squares = 0;
        for (double each : had) {
            sum += each;
            squares += each * each;
        }
        return sum * sum / (had.length * squares);
    }
}
