/**
 * Reads the load balancer's settings, names and load reports from the wire's JSON, and maps their terms to those of the
 * code. No I/O, clock or threads.
 */
package peppergauge.settings;
