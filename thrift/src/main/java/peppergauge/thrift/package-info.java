/** The Thrift extension of the sidecar and a main class that runs a sidecar with it. */
package peppergauge.thrift;
