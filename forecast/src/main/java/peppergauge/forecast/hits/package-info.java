/** Hit rates after a change of placement, steady and while memories are cold. */
package peppergauge.forecast.hits;
