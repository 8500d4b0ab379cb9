/** HTTP/1.1 between daemons and instances, by HttpCore, with bounded bodies, connections and waits. */
package peppergauge.fleet.http;
