package peppergauge.lab.rig;

/**
 * What discovery bears.
 *
 * @param clerks calls in work at once
 * @param callMs what a call takes, ms; a watch is one call, whatever it is told later
 * @param patienceMs after which a call that still waits is given up
 */
public record Capacity(int clerks, double callMs, double patienceMs) { }
