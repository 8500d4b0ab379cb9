/** Text output of responses of a daemon's admin socket. */
package peppergauge.lab.admin;
