package peppergauge.sockets;

import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** Creates the protocol handlers of accepted or established connections. */
public interface ConnectionHandlerFactory {

    /** Creates the handler of an established connection, before any input or output; on the event loop's thread. */
    IOEventHandler create(ProtocolIOSession connection);
}
