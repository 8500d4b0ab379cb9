/** Thrift as the lab's stand-ins speak it, by Apache's own library: not the code that is tried with it. */
package peppergauge.lab.thrift;
