/** Sliding-window counters of requests that met or missed an objective, and the error budgets that they spend. */
package peppergauge.promises.outcome;
