package peppergauge.snapshot.nonrepeatable;

import java.util.function.Consumer;
import java.util.function.Function;
import peppergauge.request.Backend;
import peppergauge.request.Message;
import peppergauge.request.Scheduler;

/**
 * Sends what must not run twice only once the journal has it. The wait is the journal's; the owner thread goes on.
 *
 * @param unsafeId the id of a message that must not run twice; null for any other
 */
public record GuardedBackend(
        Backend backend, NonRepeatableJournal journal, Scheduler scheduler, Function<Message, String> unsafeId)
        implements Backend {

    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
        String id = unsafeId.apply(message);
        if (id == null) {
            return backend.send(server, message, untilMs, sender);
        }
        Guarded guarded = new Guarded(id);
        journal.sent(
                id,
                () -> scheduler.execute(() ->
                        guarded.send(() -> backend.send(server, message, untilMs, sender.withEndListener(result -> {
                            guarded.over(result.outcome().neverRan());
                            sender.onEnded(result);
                        })))));
        return guarded;
    }

    /** One attempt; but for {@link #over} only the owner thread calls it. */
    private final class Guarded implements Exchange {

        private final String id;
        private Exchange sent;
        private boolean takenBack;
        private boolean told;

        Guarded(String id) {
            this.id = id;
        }

        interface Sending {
            Exchange send();
        }

        void send(Sending sending) {
            if (!takenBack) {
                sent = sending.send();
            }
        }

        @Override
        public boolean cancelIfUnsent() {
            boolean unwritten = sent == null || sent.cancelIfUnsent();
            if (unwritten) {
                takenBack = true;
                over(true);
            }
            return unwritten;
        }

        @Override
        public boolean abort() {
            boolean unwritten = sent == null || sent.abort();
            takenBack = true;
            over(unwritten);
            return unwritten;
        }

        synchronized void over(boolean neverRan) {
            if (!told) {
                told = true;
                journal.ended(id, neverRan);
            }
        }
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        return backend.probe(server, untilMs, ended);
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
