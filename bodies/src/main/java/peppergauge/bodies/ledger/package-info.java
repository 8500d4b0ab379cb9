/**
 * What is kept of sessions' bodies, so that they can be sent again: decisions without input or output, clock or
 * threads. docs/BODIES.md has the options weighed. Whoever does what is decided writes the files and tells how it went.
 */
package peppergauge.bodies.ledger;
