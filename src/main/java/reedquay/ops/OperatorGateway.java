package reedquay.ops;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import reedquay.core.RoutingActions;
import reedquay.core.RoutingEngine;
import reedquay.core.Settings;
import reedquay.fair.AdmissionController;
import reedquay.net.ClientIdentifier;
import reedquay.net.Configuration;
import reedquay.net.Gateway;
import reedquay.net.GatewayComponents;
import reedquay.route.Router;

/**
 * A gateway with the optional components that the operators' file enables. The file can be read again while the gateway
 * runs. This class is loaded only if an operators' file is given.
 */
public final class OperatorGateway {
    private static final System.Logger LOG = System.getLogger("reedquay");
    private final Path operatorFile;
    private final OperatorConfig config;
    private final AtomicReference<AdmissionController> admissionController = new AtomicReference<>();
    private final Gateway gateway;

    /**
     * Creates the gateway without starting it.
     *
     * @throws IOException if the operators' file cannot be read
     * @throws OperatorConfig.InvalidConfigException if the operators' file is invalid
     */
    public OperatorGateway(Configuration configuration, Path operatorFile) throws IOException {
        this.operatorFile = operatorFile;
        config = OperatorConfig.read(operatorFile);
        ClientIdentifier clientIdentifier = config.fairQueueing().enabled() ? config.fairQueueing().clientIdentifier()
                : null;
        gateway = new Gateway(configuration, new GatewayComponents(this::createEngine, clientIdentifier));
    }

    /** Creates the Router, with the admission controller before it if fair queueing is enabled. */
    private RoutingEngine createEngine(Settings settings, RoutingActions actions) {
        if (!config.fairQueueing().enabled()) {
            return new Router(settings, actions);
        }
        AdmissionController newController =
                new AdmissionController(settings, config.fairQueueing().admissionSettings(), actions);
        newController.setNext(new Router(settings, newController));
        admissionController.set(newController);
        LOG.log(System.Logger.Level.INFO, "admission control by fair queues is enabled: at most "
                + config.fairQueueing().admissionSettings().maxWaiting() + " RPCs may wait; "
                + newController.memoryBytes() + " bytes are allocated from the start");
        return newController;
    }

    /** The gateway, which the caller starts and stops. */
    public Gateway gateway() {
        return gateway;
    }

    /**
     * Reads the file again and applies the keys that can change while the gateway runs; changes that need a restart are
     * logged and ignored. Completes with false, and changes nothing, if the file cannot be read or is invalid or the
     * gateway has stopped.
     */
    public CompletableFuture<Boolean> reload() {
        try {
            OperatorConfig newConfig = OperatorConfig.read(operatorFile);
            String changedKeys = config.changedKeysNeedingRestart(newConfig);
            if (!changedKeys.isEmpty()) {
                LOG.log(System.Logger.Level.WARNING, operatorFile + ": changes of " + changedKeys
                        + " are ignored; restart the gateway to apply them");
            }
            return gateway.runOnEventLoop(() -> {
                if (admissionController.get() != null) {
                    admissionController.get().setWeights(newConfig.fairQueueing().weights());
                }
            });
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "cannot reload the operators' file; the current configuration stays"
                    + " in force: " + e.getMessage());
            return CompletableFuture.completedFuture(false);
        }
    }
}
