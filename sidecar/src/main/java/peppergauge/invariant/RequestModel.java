package peppergauge.invariant;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;

/** Model of a request and its attempts, built from events and actions. */
final class RequestModel {

    /** Model of an attempt; its outcome is null while it is open. */
    static final class AttemptModel {

        final String server;
        final int zone;
        final int cell;
        final double sentMs;
        Outcome outcome;

        AttemptModel(String server, int zone, int cell, double sentMs) {
            this.server = server;
            this.zone = zone;
            this.cell = cell;
            this.sentMs = sentMs;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    final String id;
    final RequestClass requestClass;
    final double deadlineMs;
    final List<AttemptModel> attempts = new ArrayList<>(2);
    /** Whether the final answer was given, or the client has disconnected. */
    boolean isClosed;
    /** Whether a streamed response has begun, so that deadline and timeout no longer apply. */
    boolean isStreaming;

    RequestModel(String id, RequestClass requestClass, double deadlineMs) {
        this.id = id;
        this.requestClass = requestClass;
        this.deadlineMs = deadlineMs;
    }

    /** The attempt with the given number if it exists and has not ended; otherwise null. */
    AttemptModel openAttempt(int number) {
        return number >= 0 && number < attempts.size() && attempts.get(number).outcome == null
                ? attempts.get(number)
                : null;
    }

    boolean hasOpenAttempt() {
        for (AttemptModel attempt : attempts) {
            if (attempt.outcome == null) {
                return true;
            }
        }
        return false;
    }

    /** Whether an attempt at the given server could execute the request twice although its idempotency forbids it. */
    boolean mayRunTwice(EndpointModel.EndpointStatus endpoint, double nowMs) {
        return requestClass.idempotency() != Idempotency.IDEMPOTENT
                && attempts.stream()
                        .filter(AttemptModel::mayHaveRun)
                        .anyMatch(earlier -> requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                                || nowMs - earlier.sentMs >= requestClass.keyWindowMs()
                                || !isInKeyScope(earlier, endpoint));
    }

    private boolean isInKeyScope(AttemptModel earlier, EndpointModel.EndpointStatus endpoint) {
        boolean isSameZone = earlier.zone == endpoint.zone();
        return switch (requestClass.keyScope()) {
            case ALL -> true;
            case ZONE -> isSameZone;
            case CELL -> isSameZone && earlier.cell == endpoint.cell();
        };
    }

    /** Whether the client may safely retry at any server, which a rejection implies. */
    boolean mayBeRejected() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY && requestClass.keyScope() == KeyScope.ALL
                || attempts.stream().noneMatch(AttemptModel::mayHaveRun);
    }
}
