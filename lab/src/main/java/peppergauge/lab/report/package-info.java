/** Reports on results, as JSON data and as a self-contained HTML page with SVG charts. */
package peppergauge.lab.report;
