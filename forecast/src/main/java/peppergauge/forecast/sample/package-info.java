/** Which keys one daemon counts, and what it counts of them in fixed memory. */
package peppergauge.forecast.sample;
