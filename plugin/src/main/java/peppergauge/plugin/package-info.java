/** Plug-ins before the sessions: {@link peppergauge.plugin.PluginAddition} puts them there. */
package peppergauge.plugin;
