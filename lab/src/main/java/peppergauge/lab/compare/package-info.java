/** Two settings or builds on the same scripts and seeds: the difference, and how sure it is. */
package peppergauge.lab.compare;
