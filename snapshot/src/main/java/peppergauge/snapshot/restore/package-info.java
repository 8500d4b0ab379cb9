/** Checks whether a snapshot may be restored, and restores it into the load balancer. No I/O, threads or clock. */
package peppergauge.snapshot.restore;
