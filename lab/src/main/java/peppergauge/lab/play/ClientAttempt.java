package peppergauge.lab.play;

import peppergauge.lab.standin.ServerConnection;

/**
 * State of one attempt of a client, which a sidecar sees as one request. The one of package emulator also sends the
 * request to an emulated sidecar.
 */
final class ClientAttempt {

    /** Id of the request as the sidecar and its backend servers see it. */
    final String id;

    final LogicalRequest logicalRequest;
    final double sentMs;
    final boolean impatient;
    /** Number of attempts that the sidecar made at backend servers. */
    int backendAttempts;
    /** The last attempt at a backend server; null before the first. */
    BackendAttempt lastBackendAttempt;

    /** An attempt of the sidecar, as the backend server sees it. */
    static final class BackendAttempt {

        private final ServerConnection connection;
        private boolean answered;

        BackendAttempt(ServerConnection connection) {
            this.connection = connection;
        }

        /** Records that the response has been written. */
        void answered() {
            answered = true;
        }

        /** Returns whether the sidecar still waits for the response; false if the server's host has disappeared. */
        boolean isAwaited() {
            return !answered && connection.isOpen() && !connection.isMute();
        }
    }

    ClientAttempt(String id, LogicalRequest logicalRequest, double sentMs, boolean impatient) {
        this.id = id;
        this.logicalRequest = logicalRequest;
        this.sentMs = sentMs;
        this.impatient = impatient;
    }
}
