/** What all daemons together counted of the sampled keys, lately. */
package peppergauge.forecast.popularity;
