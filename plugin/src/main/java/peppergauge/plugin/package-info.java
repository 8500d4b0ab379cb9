/**
 * Runs WebAssembly plug-ins on each request before the load balancer gets it; {@link
 * peppergauge.plugin.PluginExtension} adds them to a sidecar.
 */
package peppergauge.plugin;
