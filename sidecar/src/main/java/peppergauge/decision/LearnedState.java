package peppergauge.decision;

import java.util.List;

/**
 * What a load balancer has learned, as plain figures as of the export. It holds neither endpoint list nor requests.
 *
 * @param serverCount number of all servers, of which {@code servers} may be a page
 * @param cluster null in a page of servers
 * @param classes in the settings' order; empty in a page of servers
 * @param servers with figures of their own
 */
public record LearnedState(
        int serverCount, ClusterStatistics cluster, List<ClassStatistics> classes, List<ServerStatistics> servers) {

    /** Age from which on a state is ignored, ms. */
    public static final double MAX_AGE_MS = 2 * 3_600_000;

    /** A state in which nothing was learned. */
    public static final LearnedState EMPTY = new LearnedState(0, null, List.of(), List.of());

    /** Copies the lists. */
    public LearnedState {
        classes = List.copyOf(classes);
        servers = List.copyOf(servers);
    }

    /** An exponentially decaying sum of samples and their weight, 0 or more. */
    public record WeightedSum(double sum, double weight) {

        /** No samples. */
        public static final WeightedSum NONE = new WeightedSum(0, 0);
    }

    /**
     * Figures of all servers together.
     *
     * @param observedMs how long the instance had observed the fleet, ms, 0 or more
     * @param latency of successful attempts, divided by their classes' factors, ms
     * @param idleLatency of a mean request at an idle server, ms
     * @param errors as a share of outcomes
     * @param inFlight at a server when an attempt was sent there
     * @param othersInFlight other instances' requests in flight, by load reports
     * @param reportedServiceTime by load reports, ms
     * @param reportedUtilization of cores, 0 to 1; only in states of former versions
     * @param reportedRate of requests per second; only in states of former versions
     * @param covariance of requests in flight and latency
     * @param variance of requests in flight
     * @param arrivals of requests
     * @param queueingSlope latency that one more request in flight adds, in idle latencies, 0 to 1
     * @param unloadedMs latency of the unloaded fleet, ms; infinite while unknown
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
     * Figures of a request class.
     *
     * @param latency of its responses, ms
     * @param overall latency of all classes' responses, ms
     * @param factor its latency in means of all classes, over 0
     */
    public record ClassStatistics(WeightedSum latency, WeightedSum overall, double factor) {}

    /**
     * Figures of one server.
     *
     * @param startedMs when its process started, ms, as in the endpoint list; 0 if unknown
     * @param latency of a mean request when idle, ms
     * @param failures as a share of outcomes other than errors
     * @param errors as a sum of their own
     * @param recentErrors as a share of the last second's outcomes
     * @param unloadedMs least latency when idle, the network included, ms; infinite while unknown
     * @param ejectionLeftMs how much longer it is ejected, ms; 0 if it is not
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
