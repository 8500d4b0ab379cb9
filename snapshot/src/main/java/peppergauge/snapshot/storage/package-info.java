/** Files that are written, flushed, renamed, locked and rate-limited. */
package peppergauge.snapshot.storage;
