/** Forecasts held against what followed, and whether they are to be listened to. */
package peppergauge.forecast.trust;
