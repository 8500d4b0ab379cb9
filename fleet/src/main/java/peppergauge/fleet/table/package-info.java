/** Tables of zone weights: their versions, issuing and leases. No I/O, no clock, no threads. */
package peppergauge.fleet.table;
