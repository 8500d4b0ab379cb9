/**
 * Runs load balancers for the simulator: reads lines of events and writes lines of actions, both in JSON. Translates
 * between the names of this format and those of {@link peppergauge.decision.LoadBalancer}. Everything runs on the
 * caller's thread.
 */
package peppergauge.adapter;
