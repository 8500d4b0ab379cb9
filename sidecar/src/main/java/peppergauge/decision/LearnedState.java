package peppergauge.decision;

import java.util.List;

/**
 * The statistics that a load balancer has learned, as of their export. Contains neither the endpoint list nor requests.
 *
 * @param serverCount number of all servers, of which {@code servers} may be a page
 * @param cluster statistics of all servers together; null in a page of servers
 * @param classes statistics of the request classes, in the order of the settings; empty in a page of servers
 * @param servers servers that have statistics of their own
 */
public record LearnedState(
        int serverCount, ClusterStatistics cluster, List<ClassStatistics> classes, List<ServerStatistics> servers) {

    /** Age from which on an imported state is ignored, ms. */
    public static final double MAX_AGE_MS = 2 * 3_600_000;

    /** A state without statistics. */
    public static final LearnedState EMPTY = new LearnedState(0, null, List.of(), List.of());

    /** Copies the lists, so that later changes to them have no effect. */
    public LearnedState {
        classes = List.copyOf(classes);
        servers = List.copyOf(servers);
    }

    /** An exponentially decaying sum of samples, and the weight of the samples, 0 or more. */
    public record WeightedSum(double sum, double weight) {

        /** No samples. */
        public static final WeightedSum NONE = new WeightedSum(0, 0);
    }

    /**
     * Statistics of all servers together.
     *
     * @param observedMs how long the instance had observed the servers, ms, 0 or more
     * @param latency latency of successful attempts, divided by the latency factors of their classes, ms
     * @param idleLatency latency of a mean request at an idle server, ms
     * @param errors error responses, as a share of outcomes
     * @param inFlight requests in flight at a server at the moment when an attempt was sent to it
     * @param othersInFlight other instances' requests in flight, by load reports
     * @param reportedServiceTime service time by load reports, ms
     * @param reportedUtilization utilization of cores, 0 to 1; only in states of former versions
     * @param reportedRate requests per second; only in states of former versions
     * @param covariance covariance of requests in flight and latency
     * @param variance variance of requests in flight
     * @param arrivals number of requests that arrived
     * @param queueingSlope latency that one more request in flight adds, in idle latencies, 0 to 1
     * @param unloadedMs latency of all servers without load, ms; infinite while unknown
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
     * Statistics of a request class.
     *
     * @param latency latency of the class's responses, ms
     * @param overall latency of the responses of all classes, ms
     * @param factor ratio of the class's latency to the mean of all classes, over 0
     */
    public record ClassStatistics(WeightedSum latency, WeightedSum overall, double factor) {}

    /**
     * Statistics of one server.
     *
     * @param startedMs when the server's process started, ms, as in the endpoint list; 0 if unknown
     * @param latency latency of a mean request at the idle server, ms
     * @param failures failures, as a share of outcomes other than error responses
     * @param errors number of error responses
     * @param recentErrors error responses, as a share of the outcomes of the last second
     * @param unloadedMs lowest latency of the idle server including the network, ms; infinite while unknown
     * @param ejectionLeftMs remaining ejection time, ms; 0 if the server is not ejected
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
