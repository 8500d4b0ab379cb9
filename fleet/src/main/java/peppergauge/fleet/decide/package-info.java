/** The seam by which forecaster and promises are plugged in. Decides only: no I/O, clock or threads. */
package peppergauge.fleet.decide;
