/**
 * Sockets: the {@link peppergauge.sockets.EventLoop} that owns all of them, limits on their number, and the base class
 * of client connections of every protocol ({@link peppergauge.sockets.ClientConnection}). Everything but accepting runs
 * on the event loop's thread.
 */
package peppergauge.sockets;
