/** What happened between processes, as one record, and the rules that are checked over it; no I/O, threads or clock. */
package peppergauge.lab.history;
