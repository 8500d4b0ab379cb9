package peppergauge.request;

/** One attempt at a request on one backend server. Changed by {@link AttemptLifecycle} only. Event-loop thread only. */
final class Attempt {

    /** In the order in which an attempt passes through them; {@link #STREAMING_RESPONSE} may be skipped. */
    enum State {
        /** Waits for its connection, or for the server's response. */
        IN_FLIGHT,
        /** The response has begun; its body is being streamed to the client. */
        STREAMING_RESPONSE,
        /** The load balancer was notified of its outcome, or is being notified. */
        ENDED
    }

    final OpenRequest request;
    /** The index of this attempt among the attempts of the request, from 0. */
    final int number;

    final String serverId;
    /** Null if the endpoint list did not contain the server. */
    final Backend.Server server;

    final double sentMs;
    Backend.Exchange exchange;
    Scheduler.ScheduledTask timeout;
    State state = State.IN_FLIGHT;
    /** Whether the server is known not to have executed the request; false while in flight. */
    boolean neverExecuted;

    Attempt(OpenRequest request, String serverId, Backend.Server server, double sentMs) {
        this.request = request;
        this.number = request.attempts.size();
        this.serverId = serverId;
        this.server = server;
        this.sentMs = sentMs;
    }
}
