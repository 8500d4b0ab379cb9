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
public record FaultLimits(int maxFaults, int maxConcurrent, Duration earliestStart, Duration latestEnd,
        Duration maxDuration) {

    /** Refuses what cannot be kept. */
    public FaultLimits {
        if (maxFaults < 1 || maxConcurrent < 1 || latestEnd.compareTo(earliestStart) <= 0 || maxDuration.isNegative()
                || maxDuration.isZero()) {
            throw new IllegalArgumentException("a budget for nothing");
        }
    }
}
