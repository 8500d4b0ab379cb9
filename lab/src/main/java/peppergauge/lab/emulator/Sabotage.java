package peppergauge.lab.emulator;

import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Settings;

/**
 * Planted faults of a run, which show that the rule checks find them. They are applied between the program and the
 * emulator; the program itself is unchanged.
 */
interface Sabotage {

    /** Plants no fault. */
    Sabotage NONE = new Sabotage() {};

    /** Returns a sidecar's load balancer or a replacement; it was created with these settings and this seed. */
    default LoadBalancer instead(LoadBalancer module, Settings settings, long seed) {
        return module;
    }

    /** Whether a timer of this length, ms, that a sidecar schedules never fires. */
    default boolean swallows(double ms) {
        return false;
    }
}
