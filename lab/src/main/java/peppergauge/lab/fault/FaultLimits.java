package peppergauge.lab.fault;

import java.time.Duration;

/**
 * What a drawn schedule may do.
 *
 * @param faults drawn at most; fewer where no room for one was found
 * @param most going on at once
 * @param first before which nothing begins: the usual service is measured until then
 * @param healed by which all is healed
 * @param longest of one fault
 */
public record FaultLimits(int faults, int most, Duration first, Duration healed, Duration longest) {

    /** Refuses what cannot be kept. */
    public FaultLimits {
        if (faults < 1 || most < 1 || healed.compareTo(first) <= 0 || longest.isNegative() || longest.isZero()) {
            throw new IllegalArgumentException("a budget for nothing");
        }
    }
}
