/** The journal of non-repeatable requests that are under way. */
package peppergauge.snapshot.nonrepeatable;
