/**
 * Thrift messages as bytes: finds where a message ends, reads its header and single fields, and rewrites it in another
 * encoding. Implements Apache Thrift's "Thrift Binary protocol encoding", "Thrift Compact protocol encoding" and
 * "Thrift Remote Procedure Call"; uses no sockets, threads or settings.
 */
package peppergauge.thrift.wire;
