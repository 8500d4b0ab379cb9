package peppergauge.bodies.ledger;

/**
 * What is to be done with a kept body.
 *
 * @param to FILE: its bytes are to be written there, and {@link OutcomeWindows#moved} or {@link
 *     OutcomeWindows#failed} called; NONE:
 *     of the body that has just grown no more is kept; another one's bytes are to be let go. Nothing is called
 */
public record Move(long id, Tier to) {}
