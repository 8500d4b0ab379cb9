package peppergauge.lab.fault;

import java.time.Duration;

/**
 * Limits of a generated fault schedule.
 *
 * @param maxFaults number of faults at most; fewer if the generator finds no free time or target for one
 * @param maxConcurrent faults that are in effect at the same time at most
 * @param earliestStart no fault begins before this time, so that service without faults can be measured
 * @param latestEnd all faults have ended by this time
 * @param maxDuration of a single fault, in addition to the generator's shortest duration
 */
public record FaultLimits(
        int maxFaults, int maxConcurrent, Duration earliestStart, Duration latestEnd, Duration maxDuration) {

    /** @throws IllegalArgumentException if no fault fits into these limits */
    public FaultLimits {
        if (maxFaults < 1
                || maxConcurrent < 1
                || latestEnd.compareTo(earliestStart) <= 0
                || maxDuration.isNegative()
                || maxDuration.isZero()) {
            throw new IllegalArgumentException("fault limits allow no fault: " + maxFaults + " faults, " + maxConcurrent
                    + " concurrent, from " + earliestStart + " to " + latestEnd + ", up to " + maxDuration);
        }
    }
}
