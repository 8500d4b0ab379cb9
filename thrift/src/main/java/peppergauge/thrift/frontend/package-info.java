/** The Thrift listener: accepts client connections, dispatches their calls as requests and writes the replies. */
package peppergauge.thrift.frontend;
