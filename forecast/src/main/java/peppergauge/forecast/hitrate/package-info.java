/** Hit rates by placement, key popularity and cache model, and what a change does to them. */
package peppergauge.forecast.hitrate;
