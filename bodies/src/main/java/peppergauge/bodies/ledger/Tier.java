package peppergauge.bodies.ledger;

/** Where a body is kept, the best first. */
public enum Tier {
    MEMORY,
    FILE,
    /** Not, or no longer in whole: it cannot be sent again. */
    NONE
}
