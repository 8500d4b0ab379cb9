/** Files: written, flushed, renamed, locked and bounded. */
package peppergauge.snapshot.storage;
