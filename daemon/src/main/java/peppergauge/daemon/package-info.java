/**
 * The daemon: a sidecar with subsystems, reload and an admin socket that an operator file configures. docs/DAEMON.md
 * describes it.
 */
package peppergauge.daemon;
