package peppergauge.fleet.state;

/**
 * What is taken and for how long it is held.
 *
 * @param lateMs an older report is late
 * @param futureMs by how far clocks may differ
 * @param forgetMs an account that is older is dropped
 * @param daemons most that are held at once
 * @param cells most in a report
 * @param bytes most that all accounts take, as on the wire; from four fifths on no further daemon is taken
 */
public record Limits(long lateMs, long futureMs, long forgetMs, int daemons, int cells, long bytes) {}
