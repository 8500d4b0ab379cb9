/** The binary format of snapshot files. Has no I/O. */
package peppergauge.snapshot.format;
