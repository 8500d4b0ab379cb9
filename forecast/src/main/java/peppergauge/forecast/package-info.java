/**
 * What a change of placement does to hit rates of backend servers' key memories, said before it is made. Decides
 * only: no I/O, clock or threads.
 */
package peppergauge.forecast;
