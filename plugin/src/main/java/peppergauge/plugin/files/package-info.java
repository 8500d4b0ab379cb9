/** What operators write of plug-ins. */
package peppergauge.plugin.files;
