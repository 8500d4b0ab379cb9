/**
 * Floods: one real sidecar, clients that send as much as their connections take, and usual clients beside them that
 * must be answered in time.
 */
package peppergauge.lab.flood;
