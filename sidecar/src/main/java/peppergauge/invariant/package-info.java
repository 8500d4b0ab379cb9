/**
 * Checks invariants of the events and actions that a load balancer and its host exchange. Does no I/O and has neither
 * clock nor threads. {@code serve} loads these classes only if assertions are enabled, see docs/INVARIANTS.md.
 */
package peppergauge.invariant;
