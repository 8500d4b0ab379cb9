/** The fleet service, off by default: sidecars share nothing, and none waits for it or needs it. */
package peppergauge.fleet;
