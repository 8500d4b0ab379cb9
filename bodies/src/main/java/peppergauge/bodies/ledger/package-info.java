/**
 * Decides which request bodies are buffered for retries, and in which tier, and accounts for their storage. Performs
 * no I/O and uses no clock or threads; the caller writes the files and reports the results. docs/BODIES.md compares
 * the alternatives.
 */
package peppergauge.bodies.ledger;
