/** What methods mean: which class, where a session's facts stand, what a reply says. No sockets, no threads. */
package peppergauge.thrift.method;
