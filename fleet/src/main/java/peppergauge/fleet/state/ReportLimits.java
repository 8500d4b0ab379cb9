package peppergauge.fleet.state;

/**
 * Limits on reports and on what is stored of them.
 *
 * @param lateMs age above which a report is rejected as late, ms
 * @param clockSkewMs most that clocks may differ, ms
 * @param retentionMs age after which a stored report is removed, ms
 * @param maxDaemons most daemons stored at once
 * @param maxTrafficKeys most traffic keys in a report
 * @param maxBytes most bytes of all stored reports on the wire; at four fifths no new daemon is accepted
 */
public record ReportLimits(
        long lateMs, long clockSkewMs, long retentionMs, int maxDaemons, int maxTrafficKeys, long maxBytes) {}
