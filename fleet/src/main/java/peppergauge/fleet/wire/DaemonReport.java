package peppergauge.fleet.wire;

import java.util.List;
import java.util.Map;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.memory.ServiceTimes;
import peppergauge.forecast.seen.AnswerLevels;

/**
 * One daemon's account of all that it saw since it started. Cumulative by incarnation: the newest by (incarnation,
 * sequence) stands for all before it, so loss, repetition and disorder do no harm.
 *
 * @param site name of the deployment; reports of another are turned away
 * @param daemon its configured name
 * @param incarnation greater at each start: Unix time of it, ms
 * @param sequence greater with each report of an incarnation, from 1
 * @param sentMs Unix time by the daemon's clock, ms
 * @param cells one for each station, class and data centre that was met
 * @param keys what was sampled; null from a daemon that samples none
 * @param servers that take sessions by its server table, at most {@value #MOST_SERVERS}; null from a daemon that
 *     samples no keys, or of a release that did not tell
 * @param serviceTimes of sampled keys, by the server's kind; null as with servers
 * @param levels of answers, by which forecasts are scored; null as with servers
 */
public record DaemonReport(
        String site,
        String daemon,
        long incarnation,
        long sequence,
        long sentMs,
        List<CellCounts> cells,
        KeyReport keys,
        List<Server> servers,
        Map<String, ServiceTimes.Seen> serviceTimes,
        AnswerLevels levels) {

    public static final int MOST_SERVERS = 2_000;

    /** Without what serves forecasts alone. */
    public DaemonReport(
            String site, String daemon, long incarnation, long sequence, long sentMs, List<CellCounts> cells) {
        this(site, daemon, incarnation, sequence, sentMs, cells, null, null, null, null);
    }

    /** Without what scores forecasts. */
    public DaemonReport(
            String site,
            String daemon,
            long incarnation,
            long sequence,
            long sentMs,
            List<CellCounts> cells,
            KeyReport keys,
            List<Server> servers,
            Map<String, ServiceTimes.Seen> serviceTimes) {
        this(site, daemon, incarnation, sequence, sentMs, cells, keys, servers, serviceTimes, null);
    }

    /** @param kind any number that machines of one kind share, -1 where it is not told */
    public record Server(String id, String zone, int kind) {}

    /**
     * What clients saw.
     *
     * @param zone data centre of the server that answered, empty where none did
     * @param answered answers of servers passed on
     * @param denied denials, by this sidecar or by a server
     * @param failed all other endings, clients that left unanswered included
     * @param latency HdrHistogram of answers in ms, compressed (V2) in Base64; from a session's arrival to its
     *     answer's last byte
     */
    public record CellCounts(
            String station,
            String requestClass,
            String zone,
            long answered,
            long denied,
            long failed,
            String latency) {}
}
