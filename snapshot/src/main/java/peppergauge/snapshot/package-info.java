/** Persists learned state across restarts: the extension of the sidecar, its settings and the snapshot writer. */
package peppergauge.snapshot;
