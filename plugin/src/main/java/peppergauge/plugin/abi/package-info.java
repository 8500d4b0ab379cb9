/** The binary interface between the sidecar and its plug-ins, version 1; docs/PLUGINS.md describes it. */
package peppergauge.plugin.abi;
