package peppergauge.fleet.reader;

import java.util.IdentityHashMap;
import java.util.Map;
import peppergauge.request.Clock;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/** Sees sessions come in and how each ends. */
final class WitnessedIntake implements RequestHandler {

    private final RequestHandler next;
    private final Witness witness;
    private final KeySource keys;
    private final java.util.List<String> tenants;
    private final Clock clock;
    private final Loop loop;
    private final Map<ResponseListener, Watched> open = new IdentityHashMap<>();

    /** What runs tasks on the loop. */
    interface Loop {

        boolean isHere();

        void execute(Runnable task);
    }

    WitnessedIntake(
            RequestHandler next,
            Witness witness,
            KeySource keys,
            java.util.List<String> tenants,
            Clock clock,
            Loop loop) {
        this.next = next;
        this.witness = witness;
        this.keys = keys;
        this.tenants = tenants;
        this.clock = clock;
        this.loop = loop;
    }

    /** What is known here belongs to the loop's thread; frontends call from it but for few. */
    private void onLoop(Runnable task) {
        if (loop.isHere()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    @Override
    public void handle(IncomingRequest opening, ResponseListener frontend) {
        onLoop(() -> {
            keys.opened(opening, Witness.name(tenants, opening.tenant()), clock.nowMs());
            Watched watched = new Watched(opening, frontend);
            open.put(frontend, watched);
            next.handle(opening, watched);
        });
    }

    @Override
    public void cancel(String id, ResponseListener frontend) {
        onLoop(() -> {
            Watched watched = open.remove(frontend);
            if (watched != null) {
                watched.end(Witness.Ending.FAILED);
            }
            next.cancel(id, watched == null ? frontend : watched);
        });
    }

    private final class Watched implements ResponseListener {

        private final IncomingRequest opening;
        private final ResponseListener client;

        Watched(IncomingRequest opening, ResponseListener client) {
            this.opening = opening;
            this.client = client;
        }

        @Override
        public void onResponse(Message answer) {
            over(Witness.Ending.ANSWERED, () -> client.onResponse(answer));
        }

        @Override
        public void onRejected(double retryAfterMs) {
            over(Witness.Ending.DENIED, () -> client.onRejected(retryAfterMs));
        }

        @Override
        public void onFailed(boolean late) {
            over(Witness.Ending.FAILED, () -> client.onFailed(late));
        }

        @Override
        public boolean isClientWaiting() {
            return client.isClientWaiting();
        }

        /** Another session has its id: what is known by the id is that one's. */
        @Override
        public void onDuplicateId() {
            onLoop(() -> {
                open.remove(client);
                client.onDuplicateId();
            });
        }

        /** What stands between here and the sessions may answer from a thread of its own. */
        private void over(Witness.Ending ending, Runnable answer) {
            onLoop(() -> {
                end(ending);
                answer.run();
            });
        }

        void end(Witness.Ending ending) {
            open.remove(client);
            keys.over(opening.id());
            witness.ended(
                    opening.id(),
                    opening.tenant(),
                    opening.requestClass(),
                    ending,
                    clock.nowMs() - opening.arrivedMs());
        }
    }
}
