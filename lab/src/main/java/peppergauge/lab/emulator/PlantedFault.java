package peppergauge.lab.emulator;

import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Settings;

/**
 * Planted faults of a run, which show that the rule checks find them. They are applied between the program and the
 * emulator; the program itself is unchanged.
 */
interface PlantedFault {

    /** Plants no fault. */
    PlantedFault NONE = new PlantedFault() {};

    /** Returns a sidecar's load balancer or a replacement; it was created with these settings and this seed. */
    default LoadBalancer wrap(LoadBalancer loadBalancer, Settings settings, long seed) {
        return loadBalancer;
    }

    /** Whether a timer of this length, ms, that a sidecar schedules never fires. */
    default boolean dropsTimer(double ms) {
        return false;
    }
}
