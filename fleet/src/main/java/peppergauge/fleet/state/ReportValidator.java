package peppergauge.fleet.state;

import java.util.HashSet;
import java.util.Set;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.promises.TrafficKey;

/**
 * Validates reports by their values, and by the newest stored report of the same daemon.
 *
 * @param site name of the deployment
 */
public record ReportValidator(String site, ReportLimits limits) {

    /** Used share of the store, in fifths, at which no new daemon is accepted any more. */
    private static final int NEW_DAEMON_FIFTHS = 4;

    /** Position of the newest stored report of a daemon. */
    public record NewestReport(long incarnation, long sequence) {}

    /** Size of the store. */
    public record StoreSize(int daemons, long bytes) {}

    /**
     * Returns the verdict on a report that came from a daemon.
     *
     * @param newest position of the newest stored report of its daemon, null for none
     */
    public ReportVerdict validate(DaemonReport report, long nowMs, NewestReport newest, StoreSize stored) {
        if (!isWellFormed(report, true)) {
            return ReportVerdict.MALFORMED;
        }
        if (!report.site().equals(site)) {
            return ReportVerdict.OTHER_SITE;
        }
        if (report.sentMs() - nowMs > limits.clockSkewMs() || report.incarnation() - nowMs > limits.clockSkewMs()) {
            return ReportVerdict.FUTURE;
        }
        if (nowMs - report.sentMs() > limits.lateMs()) {
            return ReportVerdict.LATE;
        }
        if (newest == null) {
            return stored.daemons() < limits.maxDaemons() && stored.bytes() < limits.maxBytes() / 5 * NEW_DAEMON_FIFTHS
                    ? ReportVerdict.TAKEN
                    : ReportVerdict.FULL;
        }
        if (report.incarnation() < newest.incarnation()) {
            return ReportVerdict.DEAD_INCARNATION;
        }
        if (report.incarnation() == newest.incarnation() && report.sequence() <= newest.sequence()) {
            return ReportVerdict.REPEATED;
        }
        return stored.bytes() < limits.maxBytes() ? ReportVerdict.TAKEN : ReportVerdict.FULL;
    }

    /** Returns whether a report may be merged that another instance has validated by that instance's own clock. */
    public boolean isMergeable(DaemonReport report, long nowMs) {
        return isWellFormed(report, false)
                && report.site().equals(site)
                && report.sentMs() - nowMs <= 2 * limits.clockSkewMs()
                && report.incarnation() - nowMs <= 2 * limits.clockSkewMs();
    }

    /** @param withHistograms whether to decode the histograms, which takes most of the time */
    private boolean isWellFormed(DaemonReport report, boolean withHistograms) {
        if (report == null
                || !KeyReportValidator.isName(report.site())
                || !KeyReportValidator.isName(report.daemon())
                || report.incarnation() <= 0
                || report.sequence() <= 0
                || report.sentMs() <= 0
                || report.counts() == null
                || report.counts().size() > limits.maxTrafficKeys()) {
            return false;
        }
        if (!KeyReportValidator.isUsable(report)) {
            return false;
        }
        Set<TrafficKey> keys = new HashSet<>();
        return report.counts().stream()
                .allMatch(counts -> counts != null
                        && isWellFormed(counts)
                        && (!withHistograms || counts.latency() == null || LatencyHistograms.isUsable(counts.latency()))
                        && keys.add(TrafficTotals.keyOf(counts)));
    }

    private static boolean isWellFormed(DaemonReport.TrafficCounts counts) {
        return KeyReportValidator.isName(counts.tenant())
                && KeyReportValidator.isName(counts.requestClass())
                && counts.zone() != null
                && counts.zone().length() <= KeyReportValidator.MAX_NAME_LENGTH
                && KeyReportValidator.isCount(counts.answered())
                && KeyReportValidator.isCount(counts.rejected())
                && KeyReportValidator.isCount(counts.failed());
    }
}
