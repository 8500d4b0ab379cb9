/** State of an instance that survives a restart, one checked file for each record. */
package peppergauge.fleet.storage;
