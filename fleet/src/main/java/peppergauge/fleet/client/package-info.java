/** The daemon's client of the fleet service: it counts on the event loop, and reports and polls on its own threads. */
package peppergauge.fleet.client;
