/** What is inferred, from outside, of how long backend servers remember keys and of how many. */
package peppergauge.forecast.memory;
