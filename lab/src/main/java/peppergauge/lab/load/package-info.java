/**
 * A load generator on sockets. In the open loop arrival times do not depend on responses and latencies count from the
 * arrival, so that a stall shows in all requests that it affected (no coordinated omission).
 *
 * <p>A {@link peppergauge.lab.load.Request} is one client attempt; the package emulator defines the term. Retries of a
 * client are further requests here.
 */
package peppergauge.lab.load;
