/** Where sessions go, and the changes of it that can be asked about. */
package peppergauge.forecast.placement;
