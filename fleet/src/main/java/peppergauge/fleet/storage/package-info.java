/** State of an instance that survives a restart: one file with a checksum for each record. */
package peppergauge.fleet.storage;
