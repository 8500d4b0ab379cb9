/** What daemons and instances of the fleet service tell each other; JSON by Jackson, field for field. */
package peppergauge.fleet.wire;
