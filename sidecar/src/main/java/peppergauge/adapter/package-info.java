/**
 * Runs load balancers for the simulator: reads a line of events, writes a line of actions. This is the place that
 * translates the names of the simulator's wire into those of {@link peppergauge.decision.LoadBalancer}. Nothing is
 * decided here; all runs on the caller's thread.
 */
package peppergauge.adapter;
