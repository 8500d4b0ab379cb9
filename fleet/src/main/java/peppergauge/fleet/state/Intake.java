package peppergauge.fleet.state;

import java.util.HashSet;
import java.util.Set;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.promises.TrafficKey;

/** Judges a report by itself and by what is held of its daemon. */
public record Intake(String site, Limits limits) {

    private static final int LONGEST_NAME = 200;

    /** The newest account held of a daemon. */
    public record Newest(long incarnation, long sequence) {}

    /** All that is held. */
    public record Held(int daemons, long bytes) {}

    /** @param newest null where its daemon is not held */
    public Verdict judge(DaemonReport report, long nowMs, Newest newest, Held held) {
        if (!wellFormed(report, true)) {
            return Verdict.MALFORMED;
        }
        if (!report.site().equals(site)) {
            return Verdict.OTHER_SITE;
        }
        if (report.sentMs() - nowMs > limits.futureMs() || report.incarnation() - nowMs > limits.futureMs()) {
            return Verdict.FUTURE;
        }
        if (nowMs - report.sentMs() > limits.lateMs()) {
            return Verdict.LATE;
        }
        if (newest == null) {
            return held.daemons() < limits.daemons() && held.bytes() < limits.bytes() / 5 * 4
                    ? Verdict.TAKEN
                    : Verdict.FULL;
        }
        if (report.incarnation() < newest.incarnation()) {
            return Verdict.DEAD_INCARNATION;
        }
        if (report.incarnation() == newest.incarnation() && report.sequence() <= newest.sequence()) {
            return Verdict.REPEATED;
        }
        return held.bytes() < limits.bytes() ? Verdict.TAKEN : Verdict.FULL;
    }

    /** Whether another instance may hand it on: it was judged there, by another clock. */
    public boolean mayJoin(DaemonReport report, long nowMs) {
        return wellFormed(report, false)
                && report.site().equals(site)
                && report.sentMs() - nowMs <= 2 * limits.futureMs()
                && report.incarnation() - nowMs <= 2 * limits.futureMs();
    }

    /** @param closely histograms, too: that takes most of the time, and the instance that took it has looked */
    private boolean wellFormed(DaemonReport report, boolean closely) {
        if (report == null
                || !name(report.site())
                || !name(report.daemon())
                || report.incarnation() <= 0
                || report.sequence() <= 0
                || report.sentMs() <= 0
                || report.cells() == null
                || report.cells().size() > limits.cells()) {
            return false;
        }
        if (!KeyChecks.usable(report)) {
            return false;
        }
        Set<TrafficKey> met = new HashSet<>();
        return report.cells().stream()
                .allMatch(counts -> counts != null
                        && wellFormed(counts)
                        && (!closely || counts.latency() == null || Latencies.usable(counts.latency()))
                        && met.add(Tally.cell(counts)));
    }

    private static boolean wellFormed(DaemonReport.CellCounts counts) {
        return name(counts.station())
                && name(counts.requestClass())
                && counts.zone() != null
                && counts.zone().length() <= LONGEST_NAME
                && KeyChecks.counted(counts.answered())
                && KeyChecks.counted(counts.denied())
                && KeyChecks.counted(counts.failed());
    }

    private static boolean name(String name) {
        return name != null && !name.isEmpty() && name.length() <= LONGEST_NAME;
    }
}
