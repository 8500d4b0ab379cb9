package peppergauge.lab.relay;

import peppergauge.lab.fault.FaultKind;

/**
 * A fault in effect on a link.
 *
 * @param number the fault's number, by which it is ended
 * @param size as {@link FaultKind} defines it; 0 if the kind has no size
 * @param sinceNs System.nanoTime of its beginning, which tells new connections from those that were open
 */
public record LinkFault(int number, FaultKind what, double size, long sinceNs) {

    /** Returns whether the fault affects a connection that was opened at a time of System.nanoTime. */
    boolean holds(long openedNs) {
        return switch (what) {
            case CUT_OPEN -> openedNs - sinceNs < 0;
            case ACCEPT_MUTE, ACCEPT_LATE -> openedNs - sinceNs >= 0;
            default -> true;
        };
    }
}
