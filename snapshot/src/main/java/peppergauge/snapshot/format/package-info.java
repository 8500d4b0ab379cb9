/** The bytes of a snapshot; no I/O. */
package peppergauge.snapshot.format;
