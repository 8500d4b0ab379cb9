package peppergauge.sockets;

/** A client's connection, of whatever protocol, that has a place and a claim to keep it. */
public interface Claimant {

    /**
     * Closes the connection unless a session is open on it, a part of a request has come or an answer is not written
     * yet; what has come in is read first. On the loop's thread.
     *
     * @return whether it was closed
     */
    boolean closeIfIdle();
}
