package peppergauge.lab.relay;

import peppergauge.lab.fault.FaultKind;

/**
 * What is wrong with a link.
 *
 * @param number of the fault, by which it is healed
 * @param size see {@link FaultKind}; 0 where it has none
 * @param sinceNs System.nanoTime; which connections are new and which were open depends on it
 */
public record Condition(int number, FaultKind what, double size, long sinceNs) {

    /** Whether it holds for a connection that came up at this time. */
    boolean holds(long bornNs) {
        return switch (what) {
            case CUT_OPEN -> bornNs - sinceNs < 0;
            case ACCEPT_MUTE, ACCEPT_LATE -> bornNs - sinceNs >= 0;
            default -> true;
        };
    }
}
