package peppergauge.decision;

import java.util.List;

/**
 * What an instance learned, as plain figures: neither membership nor requests in flight, nor a rest that is over.
 * Sums, weights and times are those of the moment at which it was handed out.
 *
 * @param servers how many servers there are in all, also where only some are handed out
 * @param fleet null where only servers are told
 * @param classes in the settings' order; empty where only servers are told
 * @param known servers with something learned of them
 */
public record LearnedState(
        int serverCount, ClusterStatistics cluster, List<ClassStatistics> classes, List<ServerStatistics> servers) {

    /** From this age on nothing is used, ms. */
    public static final double MAX_AGE_MS = 2 * 3_600_000;

    public static final LearnedState EMPTY = new LearnedState(0, null, List.of(), List.of());

    public LearnedState {
        classes = List.copyOf(classes);
        servers = List.copyOf(servers);
    }

    /** A sum of samples and their weight, 0 or more; both halve every half-life of their figure. */
    public record WeightedSum(double sum, double weight) {

        public static final WeightedSum NONE = new WeightedSum(0, 0);
    }

    /**
     * Of all servers together.
     *
     * @param seenMs over how long it was learned, ms, 0 or more
     * @param latency of answers, ms, cleared of their classes
     * @param unit of a mean request at an idle server, ms
     * @param errors answers that were errors
     * @param flights own requests in flight that attempts met
     * @param crowd others' requests in flight by load reports
     * @param served service times by load reports, ms
     * @param use of cores by load reports, 0 to 1; the module learns none any more, and former snapshots have it
     * @param rate of requests by load reports, per second; likewise
     * @param covariance of flights and latency, and {@code variance} of flights: what crowding is reckoned from
     * @param arrivals requests that came in
     * @param crowding what one more request in flight adds to a latency, in latencies when idle, 0 to 1
     * @param unloadedMs latency of an idle fleet, ms; infinite while unknown
     */
    public record ClusterStatistics(
            double observedMs,
            WeightedSum latency,
            WeightedSum idleLatency,
            WeightedSum errors,
            WeightedSum inFlight,
            WeightedSum othersInFlight,
            WeightedSum reportedServiceTime,
            WeightedSum reportedUtilization,
            WeightedSum reportedRate,
            WeightedSum covariance,
            WeightedSum variance,
            WeightedSum arrivals,
            double queueingSlope,
            double unloadedMs) {}

    /**
     * Of a class of requests.
     *
     * @param latency of its answers, and {@code overall} of all answers, ms
     * @param factor its latency in means of all, over 0
     */
    public record ClassStatistics(WeightedSum latency, WeightedSum overall, double factor) {}

    /**
     * Of one server.
     *
     * @param startedMs when it was started, ms as in the server list; 0 if not told
     * @param latency of a mean request there when idle, ms
     * @param outcomes with failed ones as 1, {@code errors} of errors, {@code lately} of errors just now
     * @param unloadedMs its latency when idle, its way included, ms; infinite while unknown
     * @param restMs how much longer it rests after failures, ms; 0 if it does not
     */
    public record ServerStatistics(
            String server,
            double startedMs,
            WeightedSum latency,
            WeightedSum failures,
            WeightedSum errors,
            WeightedSum recentErrors,
            double unloadedMs,
            double ejectionLeftMs) {}
}
