package peppergauge.fleet.state;

import java.util.List;
import java.util.Map;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.cache.ServiceTimes.Snapshot;
import peppergauge.forecast.cache.ServiceTimes.Sum;
import peppergauge.forecast.observation.ResponseTimes;

/** Validates the parts of a report that forecasts use, so that a faulty daemon cannot stop all forecasts. */
final class KeyReportValidator {

    static final int MAX_KEYS = 8_192;
    /** Limit of frequent keys: twice what this release sends, so that a later release may send more. */
    private static final int MAX_FREQUENT_KEYS = 2_048;

    private static final int MAX_SERVER_KINDS = 16;
    private static final int MAX_GAPS = 64;
    static final int MAX_NAME_LENGTH = 200;
    /** Highest plausible count; sums of thousands of such counts still fit a long. */
    static final long MAX_COUNT = 1L << 48;

    private KeyReportValidator() {}

    /** Returns whether all present parts are usable. */
    static boolean isUsable(DaemonReport report) {
        return (report.keys() == null || isUsable(report.keys()))
                && (report.servers() == null || isUsable(report.servers()))
                && (report.serviceTimes() == null || isUsable(report.serviceTimes()))
                && (report.levels() == null || isUsable(report.levels()));
    }

    private static boolean isUsable(ResponseTimes levels) {
        return isUsable(levels.all(), 0)
                && isUsable(levels.near(), 0)
                && levels.near().count() <= levels.all().count()
                && levels.keys().size() <= MAX_KEYS
                && levels.keys().values().stream().allMatch(sum -> isUsable(sum, 1));
    }

    private static boolean isUsable(KeyReport keys) {
        // A threshold this low samples no key, and merging it would drop the sampled keys of all other daemons.
        return keys.threshold() >>> 1 > 0
                && isCount(keys.sessions())
                && keys.keys().size() <= MAX_KEYS
                && keys.keys().stream().allMatch(KeyReportValidator::isUsable)
                && (keys.heavy() == null || isUsable(keys.heavy()));
    }

    private static boolean isUsable(KeyReport.Heavy heavy) {
        return heavy.error() >= 0
                && heavy.error() <= heavy.floor()
                && heavy.floor() <= MAX_COUNT
                && heavy.keys().size() <= MAX_FREQUENT_KEYS
                && heavy.keys().stream().allMatch(key -> isTenant(key.station()) && isCount(key.count()));
    }

    private static boolean isUsable(KeyReport.Key key) {
        return isTenant(key.station())
                && isCount(key.count())
                && key.gaps().size() <= MAX_GAPS
                && key.gaps().stream().allMatch(KeyReportValidator::isCount);
    }

    private static boolean isUsable(List<DaemonReport.Server> servers) {
        return servers.size() <= DaemonReport.MAX_SERVERS
                && servers.stream().allMatch(server -> server != null && isName(server.id()) && isName(server.zone()));
    }

    private static boolean isUsable(Map<String, Snapshot> times) {
        return times.size() <= MAX_SERVER_KINDS
                && times.entrySet().stream().allMatch(each -> isName(each.getKey()) && isUsable(each.getValue()));
    }

    private static boolean isUsable(Snapshot times) {
        return times != null
                && times.gaps() != null
                && times.gaps().size() == ServiceTimes.BUCKETS
                && times.gaps().stream().allMatch(sum -> isUsable(sum, 0))
                && times.fresh() != null
                && times.fresh().size() <= MAX_KEYS
                && times.fresh().values().stream().allMatch(sum -> isUsable(sum, 1));
    }

    private static boolean isUsable(Sum sum, long minCount) {
        return sum != null
                && sum.count() >= minCount
                && sum.count() <= MAX_COUNT
                && sum.sum() >= 0
                && sum.sum() <= MAX_COUNT
                && sum.squares() >= 0
                && sum.squares() <= MAX_COUNT;
    }

    /** Returns whether a tenant's name is usable. The empty name stands for tenants that are not counted separately. */
    private static boolean isTenant(String tenant) {
        return tenant != null && tenant.length() <= MAX_NAME_LENGTH;
    }

    static boolean isCount(long count) {
        return count >= 0 && count <= MAX_COUNT;
    }

    /** Returns whether a name is present and not too long. */
    static boolean isName(String name) {
        return name != null && !name.isEmpty() && name.length() <= MAX_NAME_LENGTH;
    }
}
