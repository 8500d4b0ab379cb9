/** Reports in, forecasts out: what the fleet service asks. */
package peppergauge.forecast.answers;
