/** The planner: zone weights by service level objectives, and forecasts of hit rates. No I/O, no clock. */
package peppergauge.fleet.planning;
