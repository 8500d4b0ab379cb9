/** The registry of the kinds of operator files. */
package peppergauge.lab.files;
