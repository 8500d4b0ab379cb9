/** Faults between processes: what they are, when they happen, and which of them are needed; decides without I/O. */
package peppergauge.lab.fault;
