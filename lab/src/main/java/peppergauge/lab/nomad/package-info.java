/**
 * A stand-in for Nomad's HTTP API on loopback. It serves a {@link peppergauge.lab.nomad.Cluster} that a script changes,
 * by blocking queries and an event stream as Nomad's API documentation describes them, and can apply a
 * {@link peppergauge.lab.nomad.ApiFault}. It is independent of the client code under test.
 */
package peppergauge.lab.nomad;
