package reedquay.ops;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import reedquay.core.RoutingEngine;
import reedquay.core.RoutingActions;
import reedquay.core.Settings;
import reedquay.fair.AdmissionController;
import reedquay.net.ClientIdentifier;
import reedquay.net.Configuration;
import reedquay.net.Gateway;
import reedquay.net.GatewayComponents;
import reedquay.route.Router;

/** A gateway with the parts that the operators' file turns on. Loaded only where there is such a file. */
public final class OperatorGateway {
    private static final System.Logger LOG = System.getLogger("reedquay");
    private final Path file;
    private final OperatorConfig operators;
    private final AtomicReference<AdmissionController> turns = new AtomicReference<>();
    private final Gateway gateway;

    public OperatorGateway(Configuration configuration, Path file) throws IOException {
        this.file = file;
        operators = OperatorConfig.read(file);
        ClientIdentifier callers = operators.fair().enabled() ? operators.fair().client() : null;
        gateway = new Gateway(configuration, new GatewayComponents(this::decider, callers));
    }

    /** The Router, behind the stages that are on. */
    private RoutingEngine decider(Settings settings, RoutingActions effects) {
        if (!operators.fair().enabled()) {
            return new Router(settings, effects);
        }
        AdmissionController made = new AdmissionController(settings, operators.fair().terms(), effects);
        made.setNext(new Router(settings, made));
        turns.set(made);
        LOG.log(System.Logger.Level.INFO, "fair queues at the door: " + operators.fair().terms().maxWaiting()
                + " RPCs may wait, " + made.memoryBytes() + " bytes");
        return made;
    }

    public Gateway gateway() {
        return gateway;
    }

    /**
     * Reads the file again and takes on what can change while running; what needs a restart is logged. False, and
     * nothing changes, where the file is unfit or the gateway has stopped.
     */
    public CompletableFuture<Boolean> reload() {
        try {
            OperatorConfig next = OperatorConfig.read(file);
            String unlike = operators.needsRestartFor(next);
            if (!unlike.isEmpty()) {
                LOG.log(System.Logger.Level.WARNING, file + " has another " + unlike
                        + ": that needs a restart and is passed over");
            }
            return gateway.runOnEventLoop(() -> {
                if (turns.get() != null) {
                    turns.get().setWeights(next.fair().weights());
                }
            });
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "the operators' file cannot be used, what is in force stays: "
                    + e.getMessage());
            return CompletableFuture.completedFuture(false);
        }
    }
}
