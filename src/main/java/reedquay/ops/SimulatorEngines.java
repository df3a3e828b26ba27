package reedquay.ops;

import java.io.IOException;
import java.nio.file.Path;
import reedquay.fair.AdmissionController;
import reedquay.route.Router;
import reedquay.sim.SimHost;

/** Decisions for the simulator's wire, with the stages that the operators' file turns on. */
public final class SimulatorEngines {
    private SimulatorEngines() { }

    /** Throws IOException where the file can't be read, Unfit where something in it is not allowed. */
    public static SimHost.RoutingEngineFactory factory(Path operatorFile) throws IOException {
        OperatorConfig config = OperatorConfig.read(operatorFile);
        if (!config.fairQueueing().enabled()) {
            return Router::new;
        }
        return (settings, effects) -> {
            AdmissionController admissionController = new AdmissionController(settings, config.fairQueueing().admissionSettings(), effects);
            return admissionController.setNext(new Router(settings, admissionController));
        };
    }
}
