/** Reports on results: what is drawn as data, and the same as one HTML page with SVG pictures. */
package peppergauge.lab.report;
