package peppergauge.lab.emulator;

import peppergauge.decision.Balancer;
import peppergauge.decision.Balancer.Settings;

/**
 * Faults planted in a run, to show that the checkers find them: they stand between the program and the emulator, and
 * the program itself stays as it is.
 */
interface Sabotage {

    /** None. */
    Sabotage NONE = new Sabotage() {};

    /** What stands in for a sidecar's module, which was made with these settings and this seed. */
    default Balancer instead(Balancer module, Settings settings, long seed) {
        return module;
    }

    /** Whether a wait of this length, ms, that a sidecar asks for never ends. */
    default boolean swallows(double ms) {
        return false;
    }
}
