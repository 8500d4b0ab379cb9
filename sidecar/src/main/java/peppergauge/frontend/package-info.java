/**
 * HTTP/1.1 server: client connections, their requests and responses. {@link
 * peppergauge.frontend.HttpFrontend} listens; a {@code HttpClientConnection} ties HttpCore to one connection, a {@code
 * HttpRequestHandler} reads one request and dispatches it, a {@code HttpResponseWriter} writes its response.
 * Everything but the start and stop runs on the event loop's thread.
 */
package peppergauge.frontend;
