package peppergauge.bodies.ledger;

/**
 * A change that the ledger requires of a buffered body.
 *
 * @param target FILE: its bytes are to be written to a file, followed by {@link Ledger#onMoved} or {@link
 *     Ledger#onFileFailed}; NONE: if the body has just grown, no more of it is buffered; otherwise its bytes are to be
 *     discarded; the ledger is not called back
 */
public record TierChange(long id, Tier target) {}
