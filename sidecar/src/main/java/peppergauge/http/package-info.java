/**
 * Shared code of the HTTP/1.1 client and server: header names, a strict parser of heads and chunked bodies, and the
 * transfer of streamed bodies between HttpCore and the other packages. Objects belong to one connection and are used by
 * the event loop's thread.
 */
package peppergauge.http;
