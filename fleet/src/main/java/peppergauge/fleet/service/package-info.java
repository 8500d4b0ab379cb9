/** One instance of the fleet service: a worker thread for each task, bounded queues between them. */
package peppergauge.fleet.service;
