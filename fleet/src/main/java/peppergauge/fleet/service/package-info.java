/** One instance of the service: a thread for each duty, bounded rings between them. */
package peppergauge.fleet.service;
