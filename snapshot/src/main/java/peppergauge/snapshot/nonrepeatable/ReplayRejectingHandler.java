package peppergauge.snapshot.nonrepeatable;

import java.util.List;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.log.Log;
import peppergauge.request.IncomingRequest;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/**
 * Fails requests that may have run in the previous process, since forwarding them could run them twice, and rejects
 * non-repeatable ones while they cannot be recorded.
 *
 * @param next handler of all other requests
 * @param journal journal of non-repeatable requests
 * @param classes the request classes of the settings
 */
public record ReplayRejectingHandler(RequestHandler next, NonRepeatableJournal journal, List<RequestClass> classes)
        implements RequestHandler {

    @Override
    public void handle(IncomingRequest request, ResponseListener listener) {
        if (journal.mayHaveRun(request.id())) {
            listener.onFailed(false);
        } else if (journal.isFailing() && isNonRepeatable(request)) {
            Log.event("request_rejected", "reason", "journal_failed", "request", request.id());
            listener.onRejected(0);
        } else {
            next.handle(request, listener);
        }
    }

    private boolean isNonRepeatable(IncomingRequest request) {
        return classes.get(request.requestClass()).idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    @Override
    public void cancel(String id, ResponseListener listener) {
        next.cancel(id, listener);
    }
}
