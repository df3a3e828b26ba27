package reedquay.ops;

import java.io.IOException;
import java.nio.file.Path;
import reedquay.fair.AdmissionController;
import reedquay.route.Router;
import reedquay.sim.SimHost;

/** Creates routing engines for the simulator, with the optional components that the operators' file enables. */
public final class SimulatorEngines {
    private SimulatorEngines() { }

    /**
     * Returns a factory of engines as the file configures them.
     *
     * @throws IOException if the file cannot be read
     * @throws OperatorConfig.InvalidConfigException if the file is invalid
     */
    public static SimHost.RoutingEngineFactory factory(Path operatorFile) throws IOException {
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
