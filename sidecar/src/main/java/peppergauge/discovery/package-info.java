/**
 * Client of the platform's discovery: opens a watch, reads endpoint updates and retries when the watch is lost.
 *
 * <p>{@link peppergauge.discovery.EndpointWatch} is the entry point. It has one
 * {@link peppergauge.discovery.AddressWatch} per discovery address, which schedules its
 * {@link peppergauge.discovery.WatchCall}s by a {@link peppergauge.coldstart.PollPolicy}. All state is confined to the
 * event loop's thread.
 */
package peppergauge.discovery;
