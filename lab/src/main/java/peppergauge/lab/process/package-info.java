/** Starts and stops sidecars and other programs as processes, and reads their resource usage under /proc. */
package peppergauge.lab.process;
