package peppergauge.fleet.wire;

/**
 * What a daemon is told for a report.
 *
 * @param verdict name of it, in lower case
 * @param reportMs time until its next report, ms
 * @param askMs time between its asks for tables, ms
 */
public record ReportAnswer(String verdict, long reportMs, long askMs) {}
