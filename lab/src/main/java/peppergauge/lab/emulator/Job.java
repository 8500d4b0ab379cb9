package peppergauge.lab.emulator;

/** A request at a backend server: waiting, in work, or still in work after nobody waits for it any more. */
final class Job {

    final Attempt attempt;
    final ClientRequest request;
    /** The sender said that it waits until then. */
    final long expires;
    /** Work still to be done, ms of a standard core. */
    double leftMs;

    double wholeMs;
    long begun = -1;

    Job(Attempt attempt, ClientRequest request, long expires) {
        this.attempt = attempt;
        this.request = request;
        this.expires = expires;
        this.leftMs = request.workMs;
    }

    /** Work beside requests: a connection's handshake, a probe. */
    Job(double workMs) {
        attempt = null;
        request = null;
        expires = Long.MAX_VALUE;
        leftMs = workMs;
        wholeMs = workMs;
    }
}
