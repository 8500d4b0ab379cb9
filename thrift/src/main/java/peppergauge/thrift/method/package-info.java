/**
 * The configured Thrift methods: reads the attributes of a call, evaluates replies and defines the error replies. Uses
 * no sockets and no threads.
 */
package peppergauge.thrift.method;
