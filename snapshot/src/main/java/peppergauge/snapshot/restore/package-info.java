/** Which snapshot is used at a start, and its restoring into the load balancer; no I/O, threads or clock. */
package peppergauge.snapshot.restore;
