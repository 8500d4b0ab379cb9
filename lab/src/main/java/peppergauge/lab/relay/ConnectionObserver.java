package peppergauge.lab.relay;

/** Observes one connection of a link. Called on the loop's thread. */
public interface ConnectionObserver {

    /** Ignores everything. */
    ConnectionObserver NONE = new ConnectionObserver() {};

    /** The client has sent these bytes; a fault may still drop or delay them. */
    default void onClientBytesRead(byte[] bytes, int count) {}

    /** These bytes were written to the server's socket. */
    default void onServerBytesWritten(byte[] bytes, int count) {}

    /** The server has sent these bytes; a fault may still drop or delay them. */
    default void onServerBytesRead(byte[] bytes, int count) {}

    /** The server has closed its output. Called at most once, and only before {@link #onClientEnded}. */
    default void onServerClosed() {}

    /** These bytes were written to the client's socket. */
    default void onClientBytesWritten(byte[] bytes, int count) {}

    /**
     * The connection has ended for the client. Called once.
     *
     * @param byCaller whether the client closed it
     */
    default void onClientEnded(boolean byCaller) {}
}
