/** What clients saw, by windows, and how sure one may be of it. */
package peppergauge.promises.evidence;
