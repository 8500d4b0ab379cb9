/** The section {@code [thrift]} of operator files, and the settings that are read from it. */
package peppergauge.thrift.file;
