/** What of a snapshot is used at a start, and giving it back to the module; no I/O, no threads, no clock. */
package peppergauge.snapshot.restore;
