package peppergauge.lab.result;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * The result of one run of a scenario, from which reports and comparisons are made. Lists are never null.
 *
 * @param format version of this format, {@link #FORMAT}; other versions cannot be read
 * @param scenario name of the scenario file without its extension
 * @param made how the run was made: {@code emulate} or {@code play}
 * @param seed seed of the run
 * @param lengthS how long clients sent requests, s
 * @param digest digest of the event trace in hex; empty if there is no trace
 * @param broken violations of rules, in their order
 * @param totals counts over the run
 * @param classes one result for each class of the scenario, in its order
 * @param seconds one result for each second from 0 on, by the time at which requests were sent or events happened
 * @param servers all backend servers of the run, in the order of their first start
 * @param events incidents of the scenario
 */
@JsonInclude(JsonInclude.Include.ALWAYS)
public record RunResult(
        int format,
        String scenario,
        String made,
        long seed,
        double lengthS,
        String digest,
        List<Broken> broken,
        Totals totals,
        List<ClassResult> classes,
        List<Second> seconds,
        List<ServerResult> servers,
        List<ScriptEvent> events) {

    /** The version of the format; increases with each incompatible change. */
    public static final int FORMAT = 1;

    /** @throws IllegalArgumentException if the format is another one */
    public RunResult {
        if (format != FORMAT) {
            throw new IllegalArgumentException("result has format " + format + ", expected format " + FORMAT);
        }
        broken = List.copyOf(broken);
        classes = List.copyOf(classes);
        seconds = List.copyOf(seconds);
        servers = List.copyOf(servers);
        events = List.copyOf(events);
    }

    /**
     * A violation of a rule.
     *
     * @param rule name of the rule
     * @param atS time from the start, s
     * @param about one sentence about the violation
     * @param trace the last events before the violation, one per line, oldest first
     */
    public record Broken(String rule, double atS, String about, List<String> trace) {

        /** Makes an immutable copy of the trace. */
        public Broken {
            trace = List.copyOf(trace);
        }
    }

    /**
     * Counts over the run. Retries of a client count as part of its request.
     *
     * @param asked number of requests, without retries
     * @param worthAsked worth of all requests if each were answered in time
     * @param worth worth that was earned
     * @param inTime requests answered within the aim
     * @param late requests answered after the aim and within the deadline
     * @param lost requests not answered within the deadline
     * @param tries requests that sidecars received, with retries of clients
     * @param attempts requests that sidecars sent to backend servers
     * @param denied tries that were rejected
     * @param failed tries that failed
     * @param connections connections opened to backend servers
     * @param probes probes of backend servers
     * @param workDoneMs work of backend servers, ms of a standard core
     * @param workWastedMs part of that work that no response was delivered for
     */
    public record Totals(
            long asked,
            double worthAsked,
            double worth,
            long inTime,
            long late,
            long lost,
            long tries,
            long attempts,
            long denied,
            long failed,
            long connections,
            long probes,
            double workDoneMs,
            double workWastedMs) {

        /** Returns the share of the worth that was earned, 0 to 1; 1 without requests. */
        public double service() {
            return worthAsked > 0 ? worth / worthAsked : 1;
        }
    }

    /**
     * The result of one class of requests.
     *
     * @param latency latency of answered requests, from the first try to the response, with backoff
     */
    public record ClassResult(String name, long asked, double worthAsked, double worth, Latency latency) {}

    /**
     * The result of one second.
     *
     * @param second index of the second, from 0
     * @param worthAsked worth of the requests that were first sent in this second
     * @param worth worth that these requests earned
     * @param asked number of these requests
     * @param answered how many of them were answered, in time or late
     * @param attempts attempts sent to backend servers in this second
     * @param furtherAttempts how many of these attempts were not the first of their try
     * @param denied tries rejected in this second
     * @param failed tries that failed in this second
     * @param p50Ms median latency of the responses in this second; 0 without responses
     * @param p99Ms 99th percentile likewise
     */
    public record Second(
            int second,
            double worthAsked,
            double worth,
            long asked,
            long answered,
            long attempts,
            long furtherAttempts,
            long denied,
            long failed,
            double p50Ms,
            double p99Ms) {}

    /**
     * The result of one backend server by second; the lists are as long as {@link #seconds}.
     *
     * @param zone name of its zone
     * @param inFlight requests in flight or queued at the end of each second; -1 while the server was not up
     * @param weight share of each second's attempts of all sidecars that went to the server, 0 to 1
     * @param capacity share of its full capacity that the server had at the end of each second, 0 to 1
     */
    public record ServerResult(
            String name, String kind, String zone, List<Integer> inFlight, List<Double> weight, List<Double> capacity) {

        /** Makes immutable copies of the lists. */
        public ServerResult {
            inFlight = List.copyOf(inFlight);
            weight = List.copyOf(weight);
            capacity = List.copyOf(capacity);
        }
    }

    /**
     * An incident of the scenario.
     *
     * @param atS start of the incident, s
     * @param untilS end of the incident, s; the end of the run if it has none
     * @param what name of the incident as written in the scenario
     * @param target target as written in the scenario
     */
    public record ScriptEvent(double atS, double untilS, String what, String target) {}
}
