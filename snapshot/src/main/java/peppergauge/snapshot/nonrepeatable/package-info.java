/** The journal of non-repeatable requests in flight, which keeps them from running twice after a crash. */
package peppergauge.snapshot.nonrepeatable;
