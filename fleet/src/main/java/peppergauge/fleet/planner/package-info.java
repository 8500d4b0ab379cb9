/** Interface between the service and its planner. Pure code: no I/O, no clock, no threads. */
package peppergauge.fleet.planner;
