/** What crosses the border between the sidecar and a plug-in, byte by byte; docs/PLUGINS.md has it in words. */
package peppergauge.plugin.abi;
