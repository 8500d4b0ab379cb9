/**
 * A load generator on sockets. In the open loop arrival times do not depend on responses and latencies count from the
 * arrival, so that a stall shows in all requests that it affected (no coordinated omission).
 */
package peppergauge.lab.load;
