package peppergauge.decision;

/** Counts the requests that arrive at this instance. */
final class ArrivalRate {

    /** The least time that counts as observed, ms: a few requests at the start are no rate. */
    private static final double MIN_OBSERVED_MS = 1_000;

    final DecayingAverage arrivals = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);
    private final DecayingAverage recentArrivals = new DecayingAverage(DecayingAverage.SHORT_HALF_LIFE_MS);
    private double firstArrivalMs = Double.NaN;

    void record(double nowMs) {
        arrivals.add(nowMs, 1);
        recentArrivals.add(nowMs, 1);
        firstArrivalMs = Double.isNaN(firstArrivalMs) ? nowMs : firstArrivalMs;
    }

    /** Requests per ms over the long half-life; 0 before the first. */
    double steadyPerMs(double nowMs) {
        return arrivals.ratePerMs(nowMs, firstArrivalMs, MIN_OBSERVED_MS);
    }

    /** Requests per ms: the greater of the steady rate and that of the last second. */
    double peakPerMs(double nowMs) {
        return Math.max(steadyPerMs(nowMs), recentArrivals.ratePerMs(nowMs, firstArrivalMs, MIN_OBSERVED_MS));
    }
}
