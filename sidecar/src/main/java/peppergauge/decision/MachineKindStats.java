package peppergauge.decision;

/** What servers of one machine kind report: requests in flight from other instances, and service times. */
final class MachineKindStats {

    /** Others' requests in flight at servers that are warm. */
    final DecayingAverage othersInFlight = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Others' requests in flight at servers that are warming up. */
    final DecayingAverage othersInFlightWarmingUp = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Service time, converted to that of a warm server, ms. */
    final DecayingAverage serviceTime = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** The mean of a kind's reports, with the given mean of all servers as one more report. */
    static double meanOfKind(DecayingAverage reported, double overallMean, double nowMs) {
        return (reported.sum(nowMs) + overallMean) / (reported.weight(nowMs) + 1);
    }
}
