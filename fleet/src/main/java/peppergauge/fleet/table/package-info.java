/** Versions of tables, and which of them a reader takes. Decides only: no I/O, clock or threads. */
package peppergauge.fleet.table;
