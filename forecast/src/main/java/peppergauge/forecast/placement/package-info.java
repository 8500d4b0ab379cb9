/** Placement of requests on servers, and the changes of it that forecasts are made for. */
package peppergauge.forecast.placement;
