/** JSON messages between daemons and instances of the fleet service, and the records that they consist of. */
package peppergauge.fleet.wire;
