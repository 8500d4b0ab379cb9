/**
 * An event loop with timers, and connections on loopback that exchange complete messages in HTTP/1.1 or another
 * protocol.
 */
package peppergauge.lab.wire;
