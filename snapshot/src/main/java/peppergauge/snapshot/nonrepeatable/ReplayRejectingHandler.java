package peppergauge.snapshot.nonrepeatable;

import peppergauge.request.IncomingRequest;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/**
 * Fails requests that may have run in the previous process, since forwarding them could run them twice.
 *
 * @param next handler of all other requests
 * @param journal journal of non-repeatable requests
 */
public record ReplayRejectingHandler(RequestHandler next, NonRepeatableJournal journal) implements RequestHandler {

    @Override
    public void handle(IncomingRequest request, ResponseListener listener) {
        if (journal.mayHaveRun(request.id())) {
            listener.onFailed(false);
        } else {
            next.handle(request, listener);
        }
    }

    @Override
    public void cancel(String id, ResponseListener listener) {
        next.cancel(id, listener);
    }
}
