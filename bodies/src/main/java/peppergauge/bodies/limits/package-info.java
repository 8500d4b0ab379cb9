/** Limits of flows in memory and time. Performs no I/O and uses no clock or threads. */
package peppergauge.bodies.limits;
