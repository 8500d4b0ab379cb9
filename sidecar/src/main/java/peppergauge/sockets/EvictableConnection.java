package peppergauge.sockets;

/** A client's connection, of any protocol, that can be closed in favor of a new connection. */
public interface EvictableConnection {

    /**
     * Closes the connection immediately unless a request is open on it, a response is not completely written, or part
     * of a later request has been received; pending input is read first. Part of the first request does not keep the
     * connection open. Called on the event loop's thread.
     *
     * @return whether it was closed
     */
    boolean evict();

    /**
     * Closes the connection like {@link #evict}, but with a lingering close, and not if part of the first request has
     * been received.
     *
     * @return whether it is closed or being closed
     */
    boolean closeIfIdle();
}
