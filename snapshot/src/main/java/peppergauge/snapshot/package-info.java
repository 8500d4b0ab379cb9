/** What keeps a sidecar's learning over a restart: the addition that a sidecar is started with, and its settings. */
package peppergauge.snapshot;
