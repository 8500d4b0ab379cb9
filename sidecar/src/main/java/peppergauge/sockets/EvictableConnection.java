package peppergauge.sockets;

/** A client's connection, of any protocol, that can be closed to make room for another. */
public interface EvictableConnection {

    /**
     * Closes the connection at once unless a request is open on it, a response is not completely written, or part of a
     * further request has been received; pending input is read first. Part of the first request does not keep it open.
     * On the event loop's thread.
     *
     * @return whether it was closed
     */
    boolean evict();

    /**
     * Closes the connection like {@link #evict}, but lets the peer read to the end, and lets part of the first request
     * keep it open.
     *
     * @return whether it is closed or being closed
     */
    boolean closeIfIdle();
}
