/** The operator file of an instance, and the section of the fleet service in the file of a daemon. */
package peppergauge.fleet.file;
