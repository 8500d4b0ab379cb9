/** Sends attempts and health checks to backend servers that speak Thrift, over pooled connections. */
package peppergauge.thrift.backend;
