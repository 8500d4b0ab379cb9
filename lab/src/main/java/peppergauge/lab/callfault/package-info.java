/** System calls of another process that fail: the faults, and the preloaded library that injects them. */
package peppergauge.lab.callfault;
