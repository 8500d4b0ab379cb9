package peppergauge.sockets;

import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** What is spoken on a connection: given to the {@link EventLoop} with a listener, or with a connection to be made. */
public interface ConnectionHandlerFactory {

    /** The connection is up; called on the loop's thread, before anything is read or written. */
    IOEventHandler create(ProtocolIOSession connection);
}
