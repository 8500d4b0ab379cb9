package peppergauge.snapshot.nonrepeatable;

import java.util.function.Consumer;
import java.util.function.Function;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.log.Log;
import peppergauge.request.Backend;
import peppergauge.request.Message;
import peppergauge.request.Scheduler;

/**
 * Sends a non-repeatable request only after the journal has recorded it, and not if it cannot. The owner thread does
 * not wait for the journal.
 *
 * @param backend backend that sends the requests
 * @param journal journal of non-repeatable requests
 * @param scheduler scheduler of the owner thread
 * @param nonRepeatableId returns the id of a message that must not run twice, null for any other message
 */
public record JournalingBackend(
        Backend backend, NonRepeatableJournal journal, Scheduler scheduler, Function<Message, String> nonRepeatableId)
        implements Backend {

    @Override
    public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
        String id = nonRepeatableId.apply(message);
        if (id == null) {
            return backend.send(server, message, deadlineMs, listener);
        }
        JournaledAttempt attempt = new JournaledAttempt(id);
        AttemptListener recording = listener.withEndListener(result -> {
            attempt.recordEnd(result.outcome().neverRan());
            listener.onEnded(result);
        });
        journal.recordSent(id, new NonRepeatableJournal.RecordListener() {
            @Override
            public void onRecorded() {
                scheduler.execute(() -> attempt.send(() -> backend.send(server, message, deadlineMs, recording)));
            }

            @Override
            public void onFailed() {
                scheduler.execute(() -> attempt.endUnsent(recording));
            }
        });
        return attempt;
    }

    /** One attempt. All methods but {@link #recordEnd} are called by the owner thread only. */
    private final class JournaledAttempt implements Exchange {

        private final String id;
        private Exchange sent;
        private boolean cancelled;
        private boolean endRecorded;

        JournaledAttempt(String id) {
            this.id = id;
        }

        interface AttemptSender {
            Exchange send();
        }

        void send(AttemptSender sender) {
            if (!cancelled) {
                sent = sender.send();
            }
        }

        /** Ends the attempt, whose request could not be recorded and is not sent. */
        void endUnsent(AttemptListener ended) {
            if (!cancelled) {
                cancelled = true;
                Log.event("request_not_recorded", "request", id);
                ended.onEnded(new Result(Outcome.NEVER_SENT));
            }
        }

        /** A disk that is slow says nothing of the server. */
        @Override
        public Outcome outcomeIfUnsent() {
            return sent == null ? Outcome.NEVER_SENT : sent.outcomeIfUnsent();
        }

        @Override
        public boolean cancelIfUnsent() {
            boolean unsent = sent == null || sent.cancelIfUnsent();
            if (unsent) {
                cancelled = true;
                recordEnd(true);
            }
            return unsent;
        }

        @Override
        public boolean abort() {
            boolean unsent = sent == null || sent.abort();
            cancelled = true;
            recordEnd(unsent);
            return unsent;
        }

        synchronized void recordEnd(boolean neverRan) {
            if (!endRecorded) {
                endRecorded = true;
                journal.recordEnded(id, neverRan);
            }
        }
    }

    @Override
    public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
        return backend.probe(server, deadlineMs, onEnded);
    }

    @Override
    public void onServerListed(Server server) {
        backend.onServerListed(server);
    }

    @Override
    public void onServerRemoved(Server server) {
        backend.onServerRemoved(server);
    }
}
