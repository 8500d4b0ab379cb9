package peppergauge.lab.standin;

import java.io.IOException;
import peppergauge.lab.wire.Message;

/** What a backend server does with what comes in; on the loop's thread, and answered there, at once or later. */
public interface Service {

    /** A connection has come up. */
    void opened(Exchange connection);

    /**
     * A request is whole.
     *
     * @throws IOException if it cannot be answered; the connection is then closed
     */
    void asked(Message request, Exchange connection) throws IOException;

    /** The client has closed the connection, or it broke. */
    void closed(Exchange connection);
}
