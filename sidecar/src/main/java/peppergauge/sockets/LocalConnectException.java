package peppergauge.sockets;

import java.io.IOException;

/**
 * A connection could not be opened because a system call failed on this machine: for lack of descriptors, ports or
 * memory. It says nothing of the server, to which nothing was sent.
 */
public final class LocalConnectException extends IOException {

    private static final long serialVersionUID = 1L;

    LocalConnectException(String message, Exception cause) {
        super(message, cause);
    }
}
