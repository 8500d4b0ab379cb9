/** The operator files of the service and of its readers. */
package peppergauge.fleet.file;
