/**
 * Policies for the start of a sidecar when hundreds start at the same time: when to call discovery and when to report
 * ready. Decides only: no I/O, clock or threads.
 */
package peppergauge.coldstart;
