/** The planner: zone weights by service level objectives, and forecasts of hit rates. Pure code: no I/O, no clock. */
package peppergauge.fleet.planning;
