/** Interface between the service and its planner. No I/O, no clock, no threads. */
package peppergauge.fleet.planner;
