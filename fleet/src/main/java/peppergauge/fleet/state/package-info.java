/** Reports of daemons: validated, merged without a leader, and summed up. No I/O, no clock, no threads. */
package peppergauge.fleet.state;
