/** What hit rates were, as far as answers' times show it without inferring the memory. */
package peppergauge.forecast.seen;
