/** One instance of the fleet service: a worker thread for each task, with bounded queues between the threads. */
package peppergauge.fleet.service;
