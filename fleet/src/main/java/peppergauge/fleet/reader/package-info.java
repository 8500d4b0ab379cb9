/** The daemon's side of the fleet service: counts on the loop, reports and asks on a thread that no session waits for. */
package peppergauge.fleet.reader;
