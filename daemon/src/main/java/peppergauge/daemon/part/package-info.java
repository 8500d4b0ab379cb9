/** What the daemon adds to the plain sidecar: one {@link peppergauge.daemon.part.Subsystem} for each. */
package peppergauge.daemon.part;
