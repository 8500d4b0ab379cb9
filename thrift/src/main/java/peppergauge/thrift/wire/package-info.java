/**
 * Messages of Thrift as bytes: where one ends, what its head says, where a field stands, and the same message in
 * another form. No sockets, no threads, no settings. The formats are those of Apache Thrift's pages "Thrift Binary
 * protocol encoding", "Thrift Compact protocol encoding" and "Thrift Remote Procedure Call".
 */
package peppergauge.thrift.wire;
