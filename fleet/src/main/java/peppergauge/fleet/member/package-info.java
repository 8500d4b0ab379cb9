/** Membership of the instances of the fleet service, by SWIM. Pure code: no I/O, no clock, no threads. */
package peppergauge.fleet.member;
