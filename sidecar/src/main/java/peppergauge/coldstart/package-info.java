/** How one sidecar comes up so that hundreds may at once. Decides only: no I/O, clock or threads. */
package peppergauge.coldstart;
