package peppergauge.lab.emulator;

/** An open connection to one incarnation of a backend server's process. */
final class BackendConnection {

    private final BackendServer server;
    private final int incarnation;
    private boolean open = true;
    long idleSince;

    BackendConnection(BackendServer server) {
        this.server = server;
        this.incarnation = server.incarnation();
    }

    BackendServer server() {
        return server;
    }

    int incarnation() {
        return incarnation;
    }

    void close() {
        if (open) {
            open = false;
            server.disconnected(incarnation);
        }
    }
}
