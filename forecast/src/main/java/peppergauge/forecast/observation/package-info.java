/** Hit rates as observed, by response times alone. */
package peppergauge.forecast.observation;
