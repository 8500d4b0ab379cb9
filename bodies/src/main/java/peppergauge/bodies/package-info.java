/** Support for large bodies as an extension of the sidecar: its settings and its implementation. */
package peppergauge.bodies;
