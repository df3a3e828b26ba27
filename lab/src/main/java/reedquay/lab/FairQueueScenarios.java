package reedquay.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import reedquay.core.Method;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Rpc;
import reedquay.core.Settings;
import reedquay.core.Stage;
import reedquay.fair.AdmissionController;
import reedquay.fair.AdmissionSettings;
import reedquay.lab.GatewaySimulation.RequestStream;
import reedquay.lab.GatewaySimulation.RetryPolicy;
import reedquay.route.Router;

/**
 * Scenarios of admission control by fair queues, shared by tests and measurements: one gateway before a group of a
 * primary and two replicas, with a choice of admission control before the Router.
 */
public final class FairQueueScenarios {
    /** Nanoseconds in a millisecond. */
    public static final long MS = GatewaySimulation.MS;
    /** A read with {@link #CHEAP_WORK_NANOS} of work. */
    public static final Method CHEAP = readMethod("cheap", 1);
    /** A read with {@link #EXPENSIVE_WORK_NANOS} of work. */
    public static final Method EXPENSIVE = readMethod("dear", 1);
    /** A write with a token, by which it is safe to retry within a second. */
    public static final Method TOKENED_WRITE = new Method("write", Method.Consistency.WRITE, 0, 400 * MS, 1500 * MS, 3,
            0.5, Method.RetrySafety.TOKENED, Method.DeduplicationScope.GROUP, 1000 * MS);
    /** A write that must not run twice. */
    public static final Method NON_IDEMPOTENT_WRITE = new Method("once", Method.Consistency.WRITE, 0, 400 * MS,
            1500 * MS, 3, 0.5, Method.RetrySafety.NON_IDEMPOTENT, Method.DeduplicationScope.GROUP, 0);
    /** Mean work of a cheap read, in nanoseconds of a core. */
    public static final long CHEAP_WORK_NANOS = 10 * MS;
    /** Mean work of an expensive read, in nanoseconds of a core. */
    public static final long EXPENSIVE_WORK_NANOS = 60 * MS;
    /** Cheap reads per second that the two replicas of two cores each can serve. */
    public static final double CAPACITY_PER_SECOND = 400;

    /** The admission control before the Router. The names of the constants are printed in tables. */
    public enum AdmissionMode {
        /** None: the Router alone. */
        NOTHING,
        /** One queue for all RPCs, whatever their tenants and clients. */
        FIRST_COME,
        /** Fair queues by tenant, without a distinction of clients. */
        TENANTS,
        /** Fair queues by tenant and, within a tenant, by client. */
        CLIENTS
    }

    private FairQueueScenarios() { }

    private static Method readMethod(String name, double utility) {
        return new Method(name, Method.Consistency.ANY, 0, 400 * MS, 1500 * MS, utility, 0,
                Method.RetrySafety.IDEMPOTENT, Method.DeduplicationScope.ALL, 0);
    }

    /** Returns settings with the four methods and the given tenants. */
    public static Settings settings(Settings.Tenant... tenants) {
        return new Settings(11, "a", 0, 1, 5 * MS, List.of(CHEAP, EXPENSIVE, TOKENED_WRITE, NON_IDEMPOTENT_WRITE),
                List.of(tenants),
                new Settings.Capabilities(true, false, true, true, true, 1000 * MS, 6, 250 * MS, false),
                new Settings.Rules(0.25, 10_000 * MS, 3, 1000 * MS, 500 * MS, 20 * MS, 10_000 * MS, false),
                new Settings.PositionSources(true, false, true, false, false), new Settings.Costs(0, 0, 0, 0, 0));
    }

    /** Returns settings with three tenants of equal quotas, too high for the Router to push back RPCs over quota. */
    public static Settings threeTenants() {
        return settings(new Settings.Tenant("red", 1000), new Settings.Tenant("green", 1000),
                new Settings.Tenant("blue", 1000));
    }

    /** Returns a factory of the Router behind the given admission control, in which at most maxWaiting RPCs wait. */
    public static BiFunction<Settings, RoutingActions, RoutingEngine> engineFactory(AdmissionMode admissionMode,
            int maxWaiting) {
        return (settings, actions) -> {
            if (admissionMode == AdmissionMode.NOTHING) {
                return new Router(settings, actions);
            }
            Settings visibleSettings = admissionMode != AdmissionMode.FIRST_COME ? settings
                    : new Settings(settings.seed(), settings.zone(), settings.gatewayIndex(), settings.gatewayCount(),
                    settings.tick(), settings.methods(), List.of(), settings.capabilities(), settings.rules(),
                    settings.positionSources(), settings.costs());
            AdmissionController admissionController =
                    new AdmissionController(visibleSettings, new AdmissionSettings(maxWaiting, Map.of()), actions);
            Stage outermost = admissionMode == AdmissionMode.CLIENTS ? admissionController
                    : new Stage(admissionController) {
                @Override public void rpcArrived(Rpc rpc) { // hides the client's ID from admission control
                    rpc.clientId = admissionMode == AdmissionMode.FIRST_COME ? "all" : null;
                    next.rpcArrived(rpc);
                }
            };
            admissionController.setNext(new Router(settings, admissionController));
            return outermost == admissionController ? admissionController : outermost.setNext(admissionController);
        };
    }

    /** Returns a simulation of a gateway before a primary and two replicas of two cores each. */
    public static GatewaySimulation simulation(Settings settings, long seed, AdmissionMode admissionMode,
            int maxWaiting) {
        return simulation(settings, seed, admissionMode, maxWaiting, 2);
    }

    /** Returns the same simulation with the given number of cores per member. */
    public static GatewaySimulation simulation(Settings settings, long seed, AdmissionMode admissionMode,
            int maxWaiting, int cores) {
        return new GatewaySimulation(settings, seed, engineFactory(admissionMode, maxWaiting)).addGroup(2, cores)
                .setMeanWork(CHEAP, CHEAP_WORK_NANOS).setMeanWork(EXPENSIVE, EXPENSIVE_WORK_NANOS)
                .setMeanWork(TOKENED_WRITE, 5 * MS).setMeanWork(NON_IDEMPOTENT_WRITE, 5 * MS);
    }

    /**
     * Adds clients of equal rates to the simulation. Their offered load, summed, is capacityShare times the work that
     * the two replicas of two cores each can do.
     */
    public static List<RequestStream> addEvenClients(GatewaySimulation simulation, String tenant, int clients,
            Method method, double capacityShare, RetryPolicy retryPolicy, long endNanos) {
        List<RequestStream> streams = new ArrayList<>();
        double requestsPerSecond = capacityShare * CAPACITY_PER_SECOND * CHEAP_WORK_NANOS
                / (method == EXPENSIVE ? EXPENSIVE_WORK_NANOS : CHEAP_WORK_NANOS) / clients;
        for (int i = 0; i < clients; i++) {
            RequestStream stream =
                    new RequestStream(tenant, tenant + i, method, requestsPerSecond, retryPolicy, 0, endNanos);
            simulation.addStream(stream);
            streams.add(stream);
        }
        return streams;
    }

    /** Returns the utility that the streams gained as a fraction of that of all their requests; 1 if none. */
    public static double utilityShare(List<RequestStream> streams) {
        double gained = 0;
        double requested = 0;
        for (RequestStream stream : streams) {
            gained += stream.utility;
            requested += stream.requests * stream.method.utility();
        }
        return requested == 0 ? 1 : gained / requested;
    }

    /** Returns Jain's fairness index (Jain, Chiu and Hawe 1984): 1 if all allocations are equal, at least 1/n. */
    public static double jainIndex(double[] allocations) {
        double sum = 0;
        double squares = 0;
        for (double allocation : allocations) {
            sum += allocation;
            squares += allocation * allocation;
        }
        return sum * sum / (allocations.length * squares);
    }
}
