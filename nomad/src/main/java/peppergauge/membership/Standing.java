package peppergauge.membership;

import peppergauge.decision.LoadBalancer.EndpointState;

/** What a source says of a backend server, the best first. */
public enum Standing {

    /** May be asked. */
    READY,
    /** Told to be ill, but nobody means it to go: not asked, unless its answers show otherwise. */
    DOUBTED,
    /** On its way out: finishes what it has and is asked nothing new. */
    LEAVING,
    /** Gone, and said so: more than missing from a list. */
    STOPPED;

    /** What the platform's discovery means by a state. */
    public static Standing of(EndpointState state) {
        return switch (state) {
            case READY -> READY;
            case DRAINING -> LEAVING;
            case REMOVED -> STOPPED;
        };
    }
}
