/**
 * Kinds of faults on links and processes, generated fault schedules, and the reduction of failing ones. Does no I/O.
 */
package peppergauge.lab.fault;
