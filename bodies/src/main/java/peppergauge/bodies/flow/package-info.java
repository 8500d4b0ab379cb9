/**
 * Long bodies on their way: taken in from one end, passed on to the other as that one takes them, and kept for a retry
 * where there is room. All of it runs on the owner's thread; files are the spool's.
 */
package peppergauge.bodies.flow;
