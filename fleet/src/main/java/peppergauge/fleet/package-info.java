/** The fleet service and its client in the daemon. Disabled by default; requests never wait for the service. */
package peppergauge.fleet;
