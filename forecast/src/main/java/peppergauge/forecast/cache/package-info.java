/** Inference of size and lifetime of the backend servers' caches from service times. */
package peppergauge.forecast.cache;
