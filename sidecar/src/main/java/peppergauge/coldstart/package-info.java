/**
 * Policies for the start of a sidecar when hundreds start at the same time: when to call discovery and when to report
 * ready. The policies use no I/O, clock or threads.
 */
package peppergauge.coldstart;
