package reedquay.ops;

import java.io.IOException;
import java.nio.file.Path;
import reedquay.fair.AdmissionController;
import reedquay.route.Router;
import reedquay.sim.SimHost;

/** Decisions for the simulator's wire, with the stages that the operators' file turns on. */
public final class Fronts {
    private Fronts() { }

    /** Throws IOException where the file can't be read, Unfit where something in it is not allowed. */
    public static SimHost.RoutingEngineFactory maker(Path file) throws IOException {
        OperatorConfig operators = OperatorConfig.read(file);
        if (!operators.fair().enabled()) {
            return Router::new;
        }
        return (settings, effects) -> {
            AdmissionController turns = new AdmissionController(settings, operators.fair().terms(), effects);
            return turns.setNext(new Router(settings, turns));
        };
    }
}
