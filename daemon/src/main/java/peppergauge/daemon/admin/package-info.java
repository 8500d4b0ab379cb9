/** Commands for the running program: a line in, a JSON object out. */
package peppergauge.daemon.admin;
