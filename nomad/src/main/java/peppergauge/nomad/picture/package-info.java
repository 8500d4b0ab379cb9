/**
 * What Nomad's answers and events say of a service, put together: registrations, allocations, nodes and checks go in,
 * servers with their standing come out. No input or output, no threads, no clock.
 */
package peppergauge.nomad.picture;
