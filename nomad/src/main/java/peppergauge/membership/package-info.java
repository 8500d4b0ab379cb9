/**
 * Merges the endpoint lists of several sources into one, and decides what of them is accepted. No I/O, clock or
 * threads.
 *
 * <p>{@link peppergauge.membership.Membership} is the entry: updates of sources go in, endpoint updates with a reason
 * for
 * each decision come out. {@link peppergauge.membership.SourceState} keeps what one source reported,
 * {@link peppergauge.membership.SourceMerger} combines the sources, and {@link peppergauge.membership.EndpointTable} is
 * the merged list. {@link peppergauge.membership.MembershipConfig} holds the operator's settings.
 */
package peppergauge.membership;
