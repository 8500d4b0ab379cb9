/** The section of the operator file that configures plug-ins. */
package peppergauge.plugin.files;
