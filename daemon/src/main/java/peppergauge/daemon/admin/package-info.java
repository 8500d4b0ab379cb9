/** The admin socket of a running daemon and its client. */
package peppergauge.daemon.admin;
