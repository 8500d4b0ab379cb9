/**
 * Streaming of large bodies under flow control, with request bodies buffered for retries where there is capacity. All
 * of it runs on the event-loop thread; files are read and written on the disk thread.
 */
package peppergauge.bodies.flow;
