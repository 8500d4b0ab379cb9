/** Configuration of one sidecar instance, from its file and environment variables. */
package peppergauge.config;
