package peppergauge.request;

import java.util.Locale;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.log.Log;
import peppergauge.overload.AdmissionDecision;
import peppergauge.overload.OverloadController;

/**
 * Logs each rejection with the mechanism that rejected the request and the figures by which it did. Event-loop thread
 * only.
 */
final class RejectionLog {

    private static final double SHARE_STEPS = 100;

    private final Clock clock;
    private boolean isEnabled = true;

    RejectionLog(Clock clock) {
        this.clock = clock;
    }

    /** Logs nothing from now on; for requests that no client sent. */
    void disable() {
        isEnabled = false;
    }

    /** The load balancer rejected an open request. */
    void rejected(OpenRequest request, RejectRequest rejection) {
        if (isEnabled) {
            double now = clock.nowMs();
            Log.event(
                    "request_rejected",
                    "reason",
                    lowerCase(rejection.cause().reason()),
                    "request",
                    request.id(),
                    "waited_ms",
                    Math.round(now - request.incoming.arrivedMs()),
                    "remaining_ms",
                    Math.round(request.incoming.deadlineMs() - now),
                    "min_service_ms",
                    Math.round(rejection.cause().minServiceMs()),
                    "attempts",
                    request.attempts.size());
        }
    }

    /** The overload controller did not admit a request. */
    void notAdmitted(IncomingRequest request, AdmissionDecision decision, OverloadController<?, ?> overload) {
        if (isEnabled) {
            double now = clock.nowMs();
            Log.event(
                    "request_not_admitted",
                    "reason",
                    lowerCase(decision),
                    "request",
                    request.id(),
                    "queue_delay_ms",
                    Math.round(now - overload.earliestArrivalMs()),
                    "remaining_ms",
                    Math.round(request.deadlineMs() - now),
                    "min_service_ms",
                    Math.round(overload.minServiceMs(now)),
                    "admitted_share",
                    Math.round(overload.admittedShare() * SHARE_STEPS) / SHARE_STEPS,
                    "min_queue_delay_ms",
                    Math.round(overload.minQueueDelayMs()));
        }
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
