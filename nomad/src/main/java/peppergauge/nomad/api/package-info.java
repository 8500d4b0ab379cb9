/**
 * Client of Nomad's HTTP API, with one GET request per connection on the event loop and limits of size and time. JSON
 * is parsed on a background thread.
 */
package peppergauge.nomad.api;
