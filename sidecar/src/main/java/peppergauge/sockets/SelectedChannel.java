package peppergauge.sockets;

/** What the event loop calls when the socket of a selection key is ready. */
interface SelectedChannel {

    /**
     * Handles a ready socket; throws no exception.
     *
     * @param readyOps the operations for which it is ready, as in {@link java.nio.channels.SelectionKey}
     */
    void onSelected(int readyOps);
}
