package peppergauge.snapshot.nonrepeatable;

import peppergauge.request.IncomingRequest;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/** Answers as failed what may have run in the process before: passed on, it could run twice. */
public record GuardedIntake(RequestHandler sessions, NonRepeatableJournal journal) implements RequestHandler {

    @Override
    public void handle(IncomingRequest opening, ResponseListener frontend) {
        if (journal.mayHaveRun(opening.id())) {
            frontend.onFailed(false);
        } else {
            sessions.handle(opening, frontend);
        }
    }

    @Override
    public void cancel(String id, ResponseListener frontend) {
        sessions.cancel(id, frontend);
    }
}
