/** The promises' decision behind the service's seam. Decides only: no I/O, clock or threads. */
package peppergauge.fleet.plan;
