package peppergauge.promises;

import java.util.List;

/**
 * What one station is promised for one class of its sessions.
 *
 * @param share of the sessions, over 0 and under 1, that are to be answered within {@code withinMs}
 * @param withinMs from a session's arrival at its sidecar to its answer's last byte, ms, over 0
 * @param windowsMs one or more, shortest first, ms: in each of them the share is to be kept
 * @param penalty what a missed window costs, any unit that all contracts have in common, over 0
 * @param zones data centres that the station may use; empty for all
 */
public record Contract(
        String station,
        String requestClass,
        double share,
        double withinMs,
        List<Long> windowsMs,
        double penalty,
        List<String> zones) {

    public Contract {
        if (!(share > 0 && share < 1) || !(withinMs > 0) || !(penalty > 0 && penalty < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(
                    "share, within or penalty out of range: " + share + ", " + withinMs + ", " + penalty);
        }
        windowsMs = List.copyOf(windowsMs);
        zones = List.copyOf(zones);
        if (windowsMs.isEmpty() || windowsMs.get(0) <= 0) {
            throw new IllegalArgumentException("a contract has windows longer than 0: " + windowsMs);
        }
    }

    /** Share of the sessions that may miss: the error budget of a window, by its sessions. */
    public double allowed() {
        return 1 - share;
    }

    public boolean allows(String zone) {
        return zones.isEmpty() || zones.contains(zone);
    }
}
