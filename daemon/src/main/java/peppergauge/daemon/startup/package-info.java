/** Startup beside hundreds of other sidecars: schema of {@code [start]} and the extension that it configures. */
package peppergauge.daemon.startup;
