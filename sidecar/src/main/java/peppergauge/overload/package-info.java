/**
 * Controls overload of this program itself. No I/O, no clock, no threads: every method is given the time, in ms, never
 * going backwards. {@link peppergauge.overload.OverloadController} composes the parts. In each round, the event-loop
 * thread calls
 *
 * <ol>
 *   <li>{@code onSelectReturned} right after select;
 *   <li>{@code connectionEviction().onBytesRead} and {@code onRequestReceived} as input is read, and
 *       {@code queue().addNew} for each new request, its deadline measured from {@code earliestArrivalMs};
 *   <li>{@code poll} until it returns null, with {@code admit} for each new request right before the load balancer
 *       handles it, {@code retryAfterMs} if it is rejected, {@code onResponse} and
 *       {@code connectionEviction().onResponseSent} for responses;
 *   <li>{@code connectionEviction().nextToEvict} as long as a connection waits for one to be closed;
 *   <li>{@code onRoundEnded} right before the next select.
 * </ol>
 *
 * <p>Only {@code acceptRateLimiter().acquireOrWaitMs} may be called from other threads.
 */
package peppergauge.overload;
