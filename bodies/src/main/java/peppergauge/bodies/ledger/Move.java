package peppergauge.bodies.ledger;

/**
 * What is to be done with a kept body.
 *
 * @param to FILE: its bytes are to be written there, and {@link Ledger#moved} or {@link Ledger#failed} called; NONE:
 *     they are to be let go, and nothing is called
 */
public record Move(long id, Tier to) { }
