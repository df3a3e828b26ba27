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
    private final Path operatorFile;
    private final OperatorConfig config;
    private final AtomicReference<AdmissionController> admissionController = new AtomicReference<>();
    private final Gateway gateway;

    public OperatorGateway(Configuration configuration, Path operatorFile) throws IOException {
        this.operatorFile = operatorFile;
        config = OperatorConfig.read(operatorFile);
        ClientIdentifier clientIdentity = config.fairQueueing().enabled() ? config.fairQueueing().clientIdentity() : null;
        gateway = new Gateway(configuration, new GatewayComponents(this::createEngine, clientIdentity));
    }

    /** The Router, behind the stages that are on. */
    private RoutingEngine createEngine(Settings settings, RoutingActions effects) {
        if (!config.fairQueueing().enabled()) {
            return new Router(settings, effects);
        }
        AdmissionController newController = new AdmissionController(settings, config.fairQueueing().admissionSettings(), effects);
        newController.setNext(new Router(settings, newController));
        admissionController.set(newController);
        LOG.log(System.Logger.Level.INFO, "fair queues at the door: " + config.fairQueueing().admissionSettings().maxWaiting()
                + " RPCs may wait, " + newController.memoryBytes() + " bytes");
        return newController;
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
            OperatorConfig newConfig = OperatorConfig.read(operatorFile);
            String changedKeys = config.changedKeysNeedingRestart(newConfig);
            if (!changedKeys.isEmpty()) {
                LOG.log(System.Logger.Level.WARNING, operatorFile + " has another " + changedKeys
                        + ": that needs a restart and is passed over");
            }
            return gateway.runOnEventLoop(() -> {
                if (admissionController.get() != null) {
                    admissionController.get().setWeights(newConfig.fairQueueing().weights());
                }
            });
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "the operators' file cannot be used, what is in force stays: "
                    + e.getMessage());
            return CompletableFuture.completedFuture(false);
        }
    }
}
