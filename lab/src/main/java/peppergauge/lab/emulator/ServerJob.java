package peppergauge.lab.emulator;

/** A request at a backend server: queued, in service, or still in service after its attempt was aborted. */
final class ServerJob {

    final BackendAttempt attempt;
    final ClientRequest request;
    /** Tick until which the sender waits for the response. */
    final long expires;
    /** Remaining work in ms of a standard core. */
    double remainingWorkMs;

    double totalWorkMs;
    long startedTick = -1;

    ServerJob(BackendAttempt attempt, ClientRequest request, long expires) {
        this.attempt = attempt;
        this.request = request;
        this.expires = expires;
        this.remainingWorkMs = request.workMs;
    }

    /** Work that is not part of a request: a connection handshake or a probe. */
    ServerJob(double workMs) {
        attempt = null;
        request = null;
        expires = Long.MAX_VALUE;
        remainingWorkMs = workMs;
        totalWorkMs = workMs;
    }
}
