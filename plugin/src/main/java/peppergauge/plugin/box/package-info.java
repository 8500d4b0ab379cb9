/** The box that a plug-in runs in: what it may be, what it may call, and what it can use up. Knows no threads. */
package peppergauge.plugin.box;
