/**
 * Model of one service in Nomad, which derives endpoints and their status from registrations, allocations, nodes and
 * checks. The package uses no I/O, clock or threads.
 */
package peppergauge.nomad.model;
