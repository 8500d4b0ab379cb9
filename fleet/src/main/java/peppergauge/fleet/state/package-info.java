/** What daemons reported, merged without a leader. Decides only: no I/O, clock or threads. */
package peppergauge.fleet.state;
