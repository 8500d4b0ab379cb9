/** The daemon's client of the fleet service: counts on the event loop, reports and polls on its own threads. */
package peppergauge.fleet.client;
