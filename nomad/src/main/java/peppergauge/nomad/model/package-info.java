/**
 * Model of one service in Nomad: registrations, allocations, nodes and checks go in, endpoints with their status come
 * out. No I/O, clock or threads.
 */
package peppergauge.nomad.model;
