/**
 * Load on sockets. In the open loop requests come at times that no answer moves, and all latencies count from these
 * times, so that a stall shows in all requests that it met (no coordinated omission).
 */
package peppergauge.lab.load;
