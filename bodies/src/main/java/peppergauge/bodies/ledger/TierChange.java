package peppergauge.bodies.ledger;

/**
 * A change that the ledger requires of a buffered body.
 *
 * @param target FILE: its bytes are to be written to a file, followed by {@link Ledger#onMoved} or {@link
 *     Ledger#onFileFailed}. NONE has two meanings, and the ledger is called back in neither: if the body has just
 *     grown, no more of it is buffered; otherwise its stored bytes are to be discarded
 */
public record TierChange(long id, Tier target) {}
