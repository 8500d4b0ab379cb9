/** Storage of bodies in unlinked files with checksums, written and read on the disk thread. */
package peppergauge.bodies.spool;
