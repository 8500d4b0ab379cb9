/**
 * Merges the endpoint lists of several sources into one and decides which reports are accepted. The package uses no
 * I/O, clock or threads.
 *
 * <p>{@link peppergauge.membership.Membership} is the entry point: it takes updates of sources and returns endpoint
 * updates with a reason for each decision.
 */
package peppergauge.membership;
