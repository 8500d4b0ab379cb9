package peppergauge.request;

import java.util.ArrayList;
import java.util.List;

/**
 * An admitted request and its attempts. Its state is changed by {@link RequestLifecycle} only. Event-loop thread only.
 */
final class OpenRequest {

    final IncomingRequest incoming;
    final ResponseListener listener;
    /** All attempts, indexed by their numbers. */
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Fires at the request's deadline, or, after a streamed body is complete, at the client's timeout. */
    Scheduler.ScheduledTask deadline;

    RequestLifecycle.State state = RequestLifecycle.State.AWAITING_RESPONSE;
    int attemptsInFlight;

    OpenRequest(IncomingRequest incoming, ResponseListener listener) {
        this.incoming = incoming;
        this.listener = listener;
    }

    String id() {
        return incoming.id();
    }

    /** The request's body if its message does not hold it, else null. */
    BodyStream bodyStream() {
        return incoming.message().stream();
    }

    /** Whether the client has its response, also true after it has disconnected. No further attempt starts then. */
    boolean hasResponded() {
        return state.compareTo(RequestLifecycle.State.RESPONDED) >= 0;
    }
}
