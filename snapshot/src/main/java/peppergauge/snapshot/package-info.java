/** Keeps what a sidecar learned over a restart: the extension of the sidecar, its settings and the snapshot writer. */
package peppergauge.snapshot;
