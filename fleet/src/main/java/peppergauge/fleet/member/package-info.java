/** Which instances of the service are there. Decides only: no I/O, clock or threads. */
package peppergauge.fleet.member;
