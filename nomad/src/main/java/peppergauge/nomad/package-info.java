/**
 * Endpoint list from Nomad's service API, as a {@link peppergauge.SidecarExtension}; off unless an operator file
 * enables it. docs/NOMAD.md describes settings, faults and costs.
 *
 * <p>{@link peppergauge.nomad.NomadSource} polls the API and reports to {@link peppergauge.membership.Membership},
 * which
 * {@link peppergauge.nomad.MembershipRunner} runs on the event loop.
 */
package peppergauge.nomad;
