/** The journal of donations under way. */
package peppergauge.snapshot.donations;
