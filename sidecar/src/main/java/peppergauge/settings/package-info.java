/**
 * Reads the load balancer's settings, names and load reports from JSON and headers, and maps their names to those of
 * the code. No I/O, clock or threads.
 */
package peppergauge.settings;
