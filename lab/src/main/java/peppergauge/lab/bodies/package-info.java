/** A program, started manually, that measures the forwarding of long bodies through a daemon. */
package peppergauge.lab.bodies;
