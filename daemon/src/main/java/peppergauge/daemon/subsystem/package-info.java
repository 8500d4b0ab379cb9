/** The subsystems that a daemon can add to the plain sidecar, and how they are combined. */
package peppergauge.daemon.subsystem;
