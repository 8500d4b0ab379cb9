/**
 * The soak: one real sidecar between stand-ins, through seeded shutdowns, signals and crowds. Everything that happens
 * is recorded, and the rules are held against the record when the run is over.
 */
package peppergauge.lab.soak;
