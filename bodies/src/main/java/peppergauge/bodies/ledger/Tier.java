package peppergauge.bodies.ledger;

/** Where a body is buffered, the fastest tier first. */
public enum Tier {
    MEMORY,
    FILE,
    /**
     * Not buffered, or not completely: nothing was stored, storing ended part-way, or the stored bytes were discarded.
     * The body cannot be sent again.
     */
    NONE
}
