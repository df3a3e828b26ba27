package reedquay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reedquay.lab.FleetSimulation.Disturbances;

/** Checks the rules and the service of every method in simulated fleets of many gateways. */
class FleetSimulationTest {
    /** Prevents starvation of a method, be the fleet undisturbed, replicas lag, or half of the members be replaced. */
    @Test void everyMethodIsServedUnderRandomMixesAndDisturbances() {
        for (long seed = 0; seed < 12; seed++) {
            FleetSimulation fleet = FleetSimulation.withRandomMix(seed);
            fleet.run(16, FleetCommand.loadFor(seed), FleetCommand.disturbancesFor(seed));
            assertEquals(Map.of(), fleet.violations(), "seed " + seed);
            assertTrue(FleetCommand.leastServedRatio(fleet) > 0.5,
                    "seed " + seed + ": least served ratio " + FleetCommand.leastServedRatio(fleet));
        }
    }

    /** Prevents failures of code that divides by a utility, an age bound or a soft deadline: some mixes have zeros. */
    @Test void everyMethodIsServedUnderEdgeCaseMixes() {
        for (TrafficMix.EdgeCase edgeCase : TrafficMix.EdgeCase.values()) {
            FleetSimulation fleet =
                    new FleetSimulation(7, TrafficMix.edgeCase(edgeCase, new SplittableRandom(7)), 3, 6, 80, 80);
            fleet.run(6, 0.3, new Disturbances(false, true, false));
            assertEquals(Map.of(), fleet.violations(), edgeCase.name());
            double least = FleetCommand.leastServedRatio(fleet);
            assertTrue(least > (edgeCase == TrafficMix.EdgeCase.BOUND_OF_NOUGHT ? 0.3 : 0.5),
                    edgeCase + ": least served ratio " + least);
        }
    }

    /**
     * Prevents state of departed members from accumulating, and lists from growing too long: 1024 members are all
     * replaced twice, with 1024 gateways in the settings.
     */
    @Test void departedMembersAreForgottenAfterAllAreReplacedTwice() {
        FleetSimulation fleet = new FleetSimulation(3, TrafficMix.random(new SplittableRandom(3)), 128, 8, 1024, 2);
        fleet.run(4, 0.4, new Disturbances(false, false, false));
        for (int i = 0; i < 2; i++) {
            fleet.replaceAll(1, fleet.now(), 8000 * FleetSimulation.NANOS_PER_MS);
            fleet.run(12, 0.4, new Disturbances(false, false, false));
        }
        assertEquals(Map.of(), fleet.violations());
        fleet.counts().forEach((method, methodCounts) ->
                assertTrue(methodCounts.inTime > 0, method.consistency() + " was never served"));
        assertTrue(fleet.membersKnownToFirstGateway() < 1024 + 256,
                "the first gateway still holds " + fleet.membersKnownToFirstGateway() + " of 3072 listed members");
    }
}
