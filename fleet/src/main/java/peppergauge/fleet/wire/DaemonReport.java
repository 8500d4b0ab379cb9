package peppergauge.fleet.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.observation.ResponseTimes;

/**
 * Report of one daemon: all counts since its start. Reports are cumulative within an incarnation: the newest one by
 * (incarnation, sequence) replaces all earlier ones, so loss, repetition and reordering are harmless.
 *
 * @param site name of the deployment; reports of another one are rejected
 * @param daemon configured name of the daemon
 * @param incarnation greater at each start: Unix time of the start, ms
 * @param sequence number of the report within the incarnation, from 1
 * @param sentMs Unix time by the daemon's clock, ms
 * @param counts one entry for each tenant, class and zone that occurred; {@code cells} in JSON
 * @param keys sampled keys; null from a daemon that samples none
 * @param servers ready servers by the daemon's endpoint list, at most {@value #MAX_SERVERS}; null from a daemon that
 *     samples no keys, or of an older release
 * @param serviceTimes service times of sampled keys, by the server's kind; null in the same cases as {@code servers}
 * @param levels response times by which forecasts are scored; null in the same cases as {@code servers}
 */
public record DaemonReport(
        String site,
        String daemon,
        long incarnation,
        long sequence,
        long sentMs,
        @JsonProperty("cells") List<TrafficCounts> counts,
        KeyReport keys,
        List<Server> servers,
        Map<String, ServiceTimes.Snapshot> serviceTimes,
        ResponseTimes levels) {

    /** Most servers in a report. */
    public static final int MAX_SERVERS = 2_000;

    /** Creates a report without sampled keys. */
    public DaemonReport(
            String site, String daemon, long incarnation, long sequence, long sentMs, List<TrafficCounts> counts) {
        this(site, daemon, incarnation, sequence, sentMs, counts, null, null, null, null);
    }

    /** Creates a report without the response times by which forecasts are scored. */
    public DaemonReport(
            String site,
            String daemon,
            long incarnation,
            long sequence,
            long sentMs,
            List<TrafficCounts> counts,
            KeyReport keys,
            List<Server> servers,
            Map<String, ServiceTimes.Snapshot> serviceTimes) {
        this(site, daemon, incarnation, sequence, sentMs, counts, keys, servers, serviceTimes, null);
    }

    /**
     * A server of the daemon's endpoint list.
     *
     * @param kind number that servers on machines of the same kind share, -1 if unknown
     */
    public record Server(String id, String zone, int kind) {}

    /**
     * Counts of one tenant, class and zone.
     *
     * @param tenant name of the tenant; {@code station} in JSON
     * @param zone zone of the server that responded, empty if none did
     * @param answered responses of servers that were forwarded to clients
     * @param rejected requests rejected by the sidecar or a server; {@code denied} in JSON
     * @param failed all other requests, disconnected clients included
     * @param latency HdrHistogram of latencies in ms, compressed (V2), in Base64; from a request's arrival to the last
     *     byte of its response
     */
    public record TrafficCounts(
            @JsonProperty("station") String tenant,
            String requestClass,
            String zone,
            long answered,
            @JsonProperty("denied") long rejected,
            long failed,
            String latency) {}
}
