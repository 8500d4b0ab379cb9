/**
 * Client of Nomad's HTTP API: one GET per connection on the event loop, with limits of size and time. JSON is parsed on
 * a background thread. Also agents in rotation, backoff, and the ACL token from a file.
 */
package peppergauge.nomad.api;
