package reedquay.ops;

import java.io.IOException;
import java.nio.file.Path;
import reedquay.fair.AdmissionController;
import reedquay.route.Router;
import reedquay.sim.SimHost;

/** Factories of the simulator's routing engines, with the optional components that the operators' file enables. */
public final class RoutingEngineFactories {
    private RoutingEngineFactories() { }

    /**
     * Returns a factory of the Router alone or, if the file enables fair queueing, of the Router with an admission
     * controller before it.
     *
     * @throws IOException if the file cannot be read
     * @throws OperatorConfig.InvalidConfigException if the file is invalid
     */
    public static SimHost.RoutingEngineFactory fromOperatorFile(Path operatorFile) throws IOException {
        OperatorConfig config = OperatorConfig.read(operatorFile);
        if (!config.fairQueueing().enabled()) {
            return Router::new;
        }
        return (settings, actions) -> {
            AdmissionController admissionController =
                    new AdmissionController(settings, config.fairQueueing().admissionSettings(), actions);
            return admissionController.setNext(new Router(settings, admissionController));
        };
    }
}
