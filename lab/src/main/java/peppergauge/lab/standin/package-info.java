/** Scripted stand-ins for backend servers and discovery, on real loopback sockets. */
package peppergauge.lab.standin;
