package peppergauge.sockets;

/** A client's connection, of whatever protocol, that has a place and a claim to keep it. */
public interface EvictableConnection {

    /**
     * Closes the connection to make room, unless a session is open on it, an answer is not written yet, or a part of a
     * further request has come; what has come in is read first. A first request that is still not whole when this
     * is asked goes with it. On the loop's thread.
     *
     * @return whether it was closed
     */
    boolean evict();

    /** The same without lack of room: what has come of a first request is waited for. */
    boolean closeIfIdle();
}
