/** The fleet service and its client in the daemon. Off by default; no request ever waits for it. */
package peppergauge.fleet;
