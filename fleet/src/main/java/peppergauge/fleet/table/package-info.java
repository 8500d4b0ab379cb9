/** Tables of zone weights: their versions, issuing, leases. Pure code: no I/O, no clock, no threads. */
package peppergauge.fleet.table;
