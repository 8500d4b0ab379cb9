/**
 * The daemon: a sidecar configured by an operator file, with subsystems, reload and an admin socket; see
 * docs/DAEMON.md.
 */
package peppergauge.daemon;
