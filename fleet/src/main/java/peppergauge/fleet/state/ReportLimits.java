package peppergauge.fleet.state;

/**
 * Limits on reports and on what is stored of them.
 *
 * @param lateMs age from which on a report is rejected as late, ms
 * @param clockSkewMs most that clocks may differ, ms
 * @param retentionMs age after which a stored report is removed, ms
 * @param maxDaemons most daemons stored at once
 * @param maxKeys most traffic keys in a report
 * @param maxBytes most bytes of all stored reports on the wire; from four fifths on no further daemon is accepted
 */
public record ReportLimits(
        long lateMs, long clockSkewMs, long retentionMs, int maxDaemons, int maxKeys, long maxBytes) {}
