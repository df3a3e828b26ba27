package reedquay.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import reedquay.lab.Fleet.Troubles;

class FleetTest {
    /** Served in time of what was asked, for each method: calm, while replicas lag, while half of all is replaced. */
    @Test void noMethodIsShutOutWhateverTheMix() {
        for (long seed = 0; seed < 12; seed++) {
            Fleet fleet = Fleet.drawn(seed);
            fleet.run(16, FleetCommand.load(seed), FleetCommand.usual(seed));
            assertEquals(Map.of(), fleet.broken(), "seed " + seed);
            assertTrue(FleetCommand.least(fleet) > 0.5, "seed " + seed + ": " + FleetCommand.least(fleet));
        }
    }

    /** Mixes that break what divides by a utility, a bound or a soft deadline. */
    @Test void oddMixesAreServedToo() {
        for (Mix.Odd odd : Mix.Odd.values()) {
            Fleet fleet = new Fleet(7, Mix.odd(odd, new SplittableRandom(7)), 3, 6, 80, 80);
            fleet.run(6, 0.3, new Troubles(false, true, false));
            assertEquals(Map.of(), fleet.broken(), odd.name());
            double least = FleetCommand.least(fleet);
            assertTrue(least > (odd == Mix.Odd.BOUND_OF_NOUGHT ? 0.3 : 0.5), odd + ": " + least);
        }
    }

    /** No list may be too long: a thousand members, all replaced twice, and as many gateways in the settings. */
    @Test void aThousandMembersAllReplacedTwice() {
        Fleet fleet = new Fleet(3, Mix.drawn(new SplittableRandom(3)), 128, 8, 1024, 2);
        fleet.run(4, 0.4, new Troubles(false, false, false));
        for (int i = 0; i < 2; i++) {
            fleet.replaceAll(1, fleet.now(), 8000 * Fleet.MS);
            fleet.run(12, 0.4, new Troubles(false, false, false));
        }
        assertEquals(Map.of(), fleet.broken());
        fleet.counts().forEach((m, c) -> assertTrue(c.inTime > 0, m.consistency() + " was never served"));
        assertTrue(fleet.kept() < 1024 + 256, "kept " + fleet.kept() + " of 3072 named");
    }
}
