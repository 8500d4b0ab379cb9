/** The daemon's side of the fleet service: counts on the loop; reports and asks on a thread of its own. */
package peppergauge.fleet.reader;
