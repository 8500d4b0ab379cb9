/** Accuracy of past forecasts, and whether new ones are trusted. */
package peppergauge.forecast.accuracy;
