/** Plug-ins before the sessions: {@link peppergauge.plugin.PluginExtension} puts them there. */
package peppergauge.plugin;
