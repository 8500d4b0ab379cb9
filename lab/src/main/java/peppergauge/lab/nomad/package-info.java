/**
 * A stand-in for Nomad's HTTP API on loopback: a {@link peppergauge.lab.nomad.Cluster} of nodes, allocations and
 * registrations that a script changes, told by blocking queries and an event stream as Nomad's API pages have it, with
 * {@link peppergauge.lab.nomad.Fault}s. It knows nothing of the source that asks it.
 */
package peppergauge.lab.nomad;
