/**
 * Sidecar extension that reads the endpoint list from Nomad's service API; disabled unless an operator file enables it.
 * {@link peppergauge.nomad.NomadSource} polls the API, and {@link peppergauge.nomad.MembershipRunner} merges its
 * updates on the event loop. docs/NOMAD.md describes settings, faults and costs.
 */
package peppergauge.nomad;
