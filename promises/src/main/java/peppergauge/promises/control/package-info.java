/** The control loop that turns outcome counters into zone weights, once a period. */
package peppergauge.promises.control;
