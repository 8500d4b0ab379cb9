/** The operator file of kind "daemon". */
package peppergauge.daemon.file;
