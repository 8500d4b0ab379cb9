package peppergauge.lab.standin;

import java.io.IOException;
import peppergauge.lab.wire.Message;

/** Handles the requests of a stand-in for a backend server. Called on the loop's thread, where it also answers. */
public interface RequestHandler {

    /** A connection was opened. */
    void opened(ServerConnection connection);

    /**
     * Handles a complete request, which may be answered at once or later.
     *
     * @throws IOException if it cannot be answered; the connection is then closed
     */
    void asked(Message request, ServerConnection connection) throws IOException;

    /** The client has closed the connection, or it has failed. */
    void closed(ServerConnection connection);
}
