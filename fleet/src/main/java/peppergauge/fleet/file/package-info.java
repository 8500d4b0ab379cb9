/** The operator file of a fleet service instance, and section {@code [fleet]} of a daemon's file. */
package peppergauge.fleet.file;
