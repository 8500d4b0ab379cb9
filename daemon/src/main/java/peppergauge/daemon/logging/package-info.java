/** Writes log lines as JSON objects through SLF4J. */
package peppergauge.daemon.logging;
