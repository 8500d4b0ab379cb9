/** Bodies in files: written as they come, checked piece by piece as they are read again, gone with their process. */
package peppergauge.bodies.spool;
