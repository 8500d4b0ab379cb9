/**
 * Sockets: the {@link peppergauge.sockets.EventLoop} that owns them all, limits on their number, and what clients'
 * connections of every protocol share ({@link peppergauge.sockets.ClientConnection}). Everything but accepting runs on
 * the event loop's thread.
 */
package peppergauge.sockets;
