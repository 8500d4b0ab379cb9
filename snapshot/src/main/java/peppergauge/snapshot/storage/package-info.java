/** File access of snapshots and the request journal: atomic replacement, locks, a rate limit and failure logging. */
package peppergauge.snapshot.storage;
