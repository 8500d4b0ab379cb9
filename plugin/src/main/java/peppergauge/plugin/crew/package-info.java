/** The threads that plug-ins run on, and what stops them. Nothing of the sidecar's own ever waits here. */
package peppergauge.plugin.crew;
