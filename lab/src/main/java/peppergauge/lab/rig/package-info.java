/**
 * Runs sidecars, backend servers, discovery and auxiliary processes as real processes, with faults on the links between
 * them.
 */
package peppergauge.lab.rig;
