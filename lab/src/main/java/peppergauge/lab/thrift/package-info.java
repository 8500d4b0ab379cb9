/** Thrift for the lab's stand-ins. It uses Apache's library, to be independent of the code under test. */
package peppergauge.lab.thrift;
