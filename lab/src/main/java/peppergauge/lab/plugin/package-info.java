/** Runs a plug-in module on recorded requests without a sidecar. */
package peppergauge.lab.plugin;
