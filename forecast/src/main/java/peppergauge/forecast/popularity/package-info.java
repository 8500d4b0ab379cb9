/** Popularity of keys over all daemons, in a recent window. */
package peppergauge.forecast.popularity;
