/** The long-lived program of which {@code serve} is the platform's plain form; docs/DAEMON.md is for its operators. */
package peppergauge.daemon;
