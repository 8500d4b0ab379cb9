package peppergauge.fleet.state;

import java.util.List;
import java.util.Map;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.memory.ServiceTimes;
import peppergauge.forecast.memory.ServiceTimes.Seen;
import peppergauge.forecast.memory.ServiceTimes.Sum;
import peppergauge.forecast.seen.AnswerLevels;

/** Whether what serves forecasts can be reckoned with: one broken daemon must not end all planning. */
final class KeyChecks {

    static final int MOST_KEYS = 8_192;
    /** Four times what this release tells, so that a later one may tell more. */
    private static final int MOST_HEAVY = 2_048;

    private static final int MOST_KINDS = 16;
    private static final int MOST_GAPS = 64;
    private static final int LONGEST_NAME = 200;
    /** No daemon counts so far; sums of thousands of such counts still fit. */
    static final long MOST = 1L << 48;

    private KeyChecks() {}

    /** Also where nothing is told. */
    static boolean usable(DaemonReport report) {
        return (report.keys() == null || usable(report.keys()))
                && (report.servers() == null || usable(report.servers()))
                && (report.serviceTimes() == null || usable(report.serviceTimes()))
                && (report.levels() == null || usable(report.levels()));
    }

    private static boolean usable(AnswerLevels levels) {
        return usable(levels.all(), 0)
                && usable(levels.near(), 0)
                && levels.near().count() <= levels.all().count()
                && levels.keys().size() <= MOST_KEYS
                && levels.keys().values().stream().allMatch(sum -> usable(sum, 1));
    }

    private static boolean usable(KeyReport keys) {
        // Under such a threshold there is no key: merged, it would leave none of any other daemon.
        return keys.threshold() >>> 1 > 0
                && counted(keys.sessions())
                && keys.keys().size() <= MOST_KEYS
                && keys.keys().stream().allMatch(KeyChecks::usable)
                && (keys.heavy() == null || usable(keys.heavy()));
    }

    private static boolean usable(KeyReport.Heavy heavy) {
        return heavy.error() >= 0
                && heavy.error() <= heavy.floor()
                && heavy.floor() <= MOST
                && heavy.keys().size() <= MOST_HEAVY
                && heavy.keys().stream().allMatch(key -> station(key.station()) && counted(key.count()));
    }

    private static boolean usable(KeyReport.Key key) {
        return station(key.station())
                && counted(key.count())
                && key.gaps().size() <= MOST_GAPS
                && key.gaps().stream().allMatch(KeyChecks::counted);
    }

    private static boolean usable(List<DaemonReport.Server> servers) {
        return servers.size() <= DaemonReport.MOST_SERVERS
                && servers.stream().allMatch(server -> server != null && name(server.id()) && name(server.zone()));
    }

    private static boolean usable(Map<String, Seen> times) {
        return times.size() <= MOST_KINDS
                && times.entrySet().stream().allMatch(each -> name(each.getKey()) && usable(each.getValue()));
    }

    private static boolean usable(Seen seen) {
        return seen != null
                && seen.gaps() != null
                && seen.gaps().size() == ServiceTimes.BUCKETS
                && seen.gaps().stream().allMatch(sum -> usable(sum, 0))
                && seen.fresh() != null
                && seen.fresh().size() <= MOST_KEYS
                && seen.fresh().values().stream().allMatch(sum -> usable(sum, 1));
    }

    private static boolean usable(Sum sum, long least) {
        return sum != null
                && sum.count() >= least
                && sum.count() <= MOST
                && sum.sum() >= 0
                && sum.sum() <= MOST
                && sum.squares() >= 0
                && sum.squares() <= MOST;
    }

    /** The empty one stands for those that a daemon no longer tells apart. */
    private static boolean station(String station) {
        return station != null && station.length() <= LONGEST_NAME;
    }

    static boolean counted(long count) {
        return count >= 0 && count <= MOST;
    }

    private static boolean name(String name) {
        return name != null && !name.isEmpty() && name.length() <= LONGEST_NAME;
    }
}
