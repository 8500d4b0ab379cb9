/** Storage of bodies in unlinked files with checksums, written and read on a thread of their own. */
package peppergauge.bodies.spool;
