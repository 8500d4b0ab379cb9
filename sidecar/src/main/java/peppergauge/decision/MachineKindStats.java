package peppergauge.decision;

/** Statistics of the load reports of all servers of one machine kind. */
final class MachineKindStats {

    /** Other instances' requests in flight at warm servers of this kind. */
    final DecayingAverage othersInFlight = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Other instances' requests in flight at servers of this kind that are warming up. */
    final DecayingAverage othersInFlightWarmingUp = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Service time, converted to that of a warm server, ms. */
    final DecayingAverage serviceTime = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** The mean of a kind's reports, with the mean of all servers added as one more report. */
    static double meanOfKind(DecayingAverage reported, double overallMean, double nowMs) {
        return (reported.sum(nowMs) + overallMean) / (reported.weight(nowMs) + 1);
    }
}
