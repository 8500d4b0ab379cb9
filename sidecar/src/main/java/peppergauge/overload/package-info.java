/**
 * What the program decides about its own overload. No I/O, no clock, no threads; every method is given the time, in
 * milliseconds from one origin, never going backwards. {@link peppergauge.overload.OverloadController} wires all of it. The
 * thread that owns sockets, sessions and the module runs rounds, and in each round calls
 *
 * <ol>
 * <li>{@code selectReturned}, right after the reactor's select, whatever that found;
 * <li>{@code claims().reading} and {@code whole} as input is read, and {@code order().owed} and {@code arrived} for
 *     what is to be done, with deadlines reckoned from {@code earliestArrivalMs};
 * <li>{@code next} until it is null, with {@code judge} for each new session right before the module is told of it,
 *     {@code retryAfterMs} where that says no, {@code served} and {@code claims().answered} where an answer goes out;
 * <li>{@code claims().nextToClose}, as long as there is no room for who waits to be accepted;
 * <li>{@code roundEnded}, right before the next select.
 * </ol>
 *
 * <p>Only {@code accepts().waitMs} may be called from another thread. docs/OVERLOAD.md has the reason for each figure.
 */
package peppergauge.overload;
