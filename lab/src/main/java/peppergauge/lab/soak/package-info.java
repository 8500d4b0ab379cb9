/**
 * Soak test of one real sidecar between stand-ins, with seeded shutdowns, signals and connection floods. All events are
 * recorded, and the rules are checked on the record after the run.
 */
package peppergauge.lab.soak;
