/** Stand-ins on real loopback sockets for what a sidecar talks to: backend servers and discovery, both scripted. */
package peppergauge.lab.standin;
