/** The forecast model: daemons' reports in, forecasts and migration costs out. */
package peppergauge.forecast.model;
