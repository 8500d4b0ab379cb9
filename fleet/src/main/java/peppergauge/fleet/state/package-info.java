/** Reports of daemons, validated and merged without a leader. Pure code: no I/O, no clock, no threads. */
package peppergauge.fleet.state;
