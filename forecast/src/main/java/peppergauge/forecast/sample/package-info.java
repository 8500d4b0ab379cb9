/** Sampling of keys at one daemon, in fixed memory. */
package peppergauge.forecast.sample;
