/** {@code [start]}: how this sidecar starts beside hundreds of others; what it decides by is peppergauge.coldstart. */
package peppergauge.daemon.start;
