/**
 * HTTP/1.1 client: attempts and health checks at backend servers. {@link peppergauge.backend.HttpBackend}
 * starts an {@code HttpExchange} for each, which leases a {@code ServerConnection} from the {@code ConnectionPool} and
 * reads the response with a {@code ResponseReader}. Everything runs on the event loop's thread.
 */
package peppergauge.backend;
