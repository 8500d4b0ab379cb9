/**
 * Checks the invariants between a load balancer and its host, from events and actions. No I/O, clock or threads of its
 * own. {@code serve} loads these classes only if assertions are on; docs/INVARIANTS.md says where.
 */
package peppergauge.invariant;
