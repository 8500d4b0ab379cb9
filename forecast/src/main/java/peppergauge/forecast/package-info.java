/**
 * Forecasts of hit rates by sampled keys: what a change of placement does to them. Pure code: no I/O, no clock, no
 * threads.
 */
package peppergauge.forecast;
