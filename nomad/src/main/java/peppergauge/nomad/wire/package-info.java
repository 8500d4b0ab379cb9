/**
 * How Nomad's HTTP API is asked: one GET a connection on the sidecar's loop, bounded in bytes and time; JSON with
 * bounds, read beside the loop; agents in turn, waits with spread, a token from a file.
 */
package peppergauge.nomad.wire;
