/** What an instance keeps over a restart: whole, checked and of a known version, or nothing. */
package peppergauge.fleet.disk;
