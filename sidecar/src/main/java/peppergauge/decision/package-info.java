/**
 * Load-balancing decisions: which server gets an attempt, when a request waits, is retried or is rejected, and when a
 * server is ejected.
 *
 * <p>{@link peppergauge.decision.LoadBalancer} is the interface: settings at construction, events in, actions out.
 * {@link peppergauge.decision.AdaptiveLoadBalancer} dispatches the events and holds the state of requests; each
 * mechanism is a class of its own. All times are milliseconds on the caller's clock. Instances have no threads and no
 * locks: one thread at a time may call them.
 */
package peppergauge.decision;
