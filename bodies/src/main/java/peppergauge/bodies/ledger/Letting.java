package peppergauge.bodies.ledger;

/** What becomes of a body before its first byte is read. */
public enum Letting {
    /** It may come. */
    IN,
    /** It may come, and nothing of it is kept: it can be passed on once, as it comes. Nothing is known of it here. */
    UNKEPT,
    /** It is longer than any that is taken: 413. */
    TOO_LONG,
    /** There is no room for it now: 503, with when to come back where the settings allow. */
    NO_ROOM
}
