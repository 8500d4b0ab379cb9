/** Real sidecars as processes, and what Linux tells of them under /proc. */
package peppergauge.lab.process;
