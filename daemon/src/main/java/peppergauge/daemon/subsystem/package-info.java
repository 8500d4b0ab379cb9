/** The subsystems that a daemon can add to a sidecar, and their combination into one extension. */
package peppergauge.daemon.subsystem;
