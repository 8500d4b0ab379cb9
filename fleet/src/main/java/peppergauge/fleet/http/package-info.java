/** HTTP/1.1 between daemons and instances, by HttpCore: bounded bodies, bounded waits. */
package peppergauge.fleet.http;
