package peppergauge.bodies.ledger;

/** Where a body is buffered, the fastest tier first. */
public enum Tier {
    MEMORY,
    FILE,
    /** Not buffered, or no longer completely: it cannot be sent again. */
    NONE
}
