/**
 * The recorded history of a run over several processes, and the rules that are checked over it. Nothing here does I/O,
 * starts threads or reads a clock.
 */
package peppergauge.lab.history;
