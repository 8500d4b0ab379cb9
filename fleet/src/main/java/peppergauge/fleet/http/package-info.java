/** HTTP/1.1 client and server on HttpCore, with limits on bodies, connections and waiting times. */
package peppergauge.fleet.http;
