/**
 * What is believed of what sources tell about backend servers: news of several sources with their versions and times
 * go in, one server table and a readable reason for each decision come out. No input or output, no threads, no clock.
 *
 * <p>{@link peppergauge.membership.Membership} puts it together: each source's words are kept by a
 * {@link peppergauge.membership.Voice}, coming back is held up by {@link peppergauge.membership.Flapping}, and
 * {@link peppergauge.membership.Policy} holds the operator's figures.
 */
package peppergauge.membership;
