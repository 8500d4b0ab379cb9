/** Membership of the instances of the fleet service, by SWIM. No I/O, no clock, no threads. */
package peppergauge.fleet.member;
