/**
 * What both sides of HTTP/1.1 share: the protocol's header names, a strict parser of heads and chunked bodies, and the
 * transfer of streamed bodies between HttpCore and the rest. Objects here belong to one connection and are used by the
 * event loop's thread.
 */
package peppergauge.http;
