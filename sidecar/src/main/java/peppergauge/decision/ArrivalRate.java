package peppergauge.decision;

/** Measures the rate at which requests arrive at this instance. */
final class ArrivalRate {

    /** Shortest observation time that a rate is computed over, ms, so that the first few requests give no high rate. */
    private static final double MIN_OBSERVED_MS = 1_000;

    final DecayingAverage arrivals = new DecayingAverage(DecayingAverage.LONG_HALF_LIFE_MS);
    private final DecayingAverage recentArrivals = new DecayingAverage(DecayingAverage.SHORT_HALF_LIFE_MS);
    private double firstArrivalMs = Double.NaN;

    void record(double nowMs) {
        arrivals.add(nowMs, 1);
        recentArrivals.add(nowMs, 1);
        firstArrivalMs = Double.isNaN(firstArrivalMs) ? nowMs : firstArrivalMs;
    }

    /** Arrival rate over the long half-life, requests per ms; 0 before the first request. */
    double steadyPerMs(double nowMs) {
        return arrivals.ratePerMs(nowMs, firstArrivalMs, MIN_OBSERVED_MS);
    }

    /** The greater of the steady arrival rate and that of the last second, requests per ms. */
    double peakPerMs(double nowMs) {
        return Math.max(steadyPerMs(nowMs), recentArrivals.ratePerMs(nowMs, firstArrivalMs, MIN_OBSERVED_MS));
    }
}
