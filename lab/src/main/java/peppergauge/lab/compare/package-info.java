/** Comparison of two builds or settings on the same scenarios and seeds, with confidence intervals. */
package peppergauge.lab.compare;
