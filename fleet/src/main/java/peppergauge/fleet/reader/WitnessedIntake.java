package peppergauge.fleet.reader;

import java.util.IdentityHashMap;
import java.util.Map;
import peppergauge.session.Clock;
import peppergauge.session.Frontend;
import peppergauge.session.Intake;
import peppergauge.session.Message;
import peppergauge.session.Opening;

/** Sees sessions come in and how each ends. */
final class WitnessedIntake implements Intake {

    private final Intake next;
    private final Witness witness;
    private final KeySource keys;
    private final java.util.List<String> tenants;
    private final Clock clock;
    private final Loop loop;
    private final Map<Frontend, Watched> open = new IdentityHashMap<>();

    /** What runs tasks on the loop. */
    interface Loop {

        boolean isHere();

        void execute(Runnable task);
    }

    WitnessedIntake(
            Intake next, Witness witness, KeySource keys, java.util.List<String> tenants, Clock clock, Loop loop) {
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
    public void open(Opening opening, Frontend frontend) {
        onLoop(() -> {
            keys.opened(opening, Witness.name(tenants, opening.tenant()), clock.nowMs());
            Watched watched = new Watched(opening, frontend);
            open.put(frontend, watched);
            next.open(opening, watched);
        });
    }

    @Override
    public void left(String id, Frontend frontend) {
        onLoop(() -> {
            Watched watched = open.remove(frontend);
            if (watched != null) {
                watched.end(Witness.Ending.FAILED);
            }
            next.left(id, watched == null ? frontend : watched);
        });
    }

    private final class Watched implements Frontend {

        private final Opening opening;
        private final Frontend client;

        Watched(Opening opening, Frontend client) {
            this.opening = opening;
            this.client = client;
        }

        @Override
        public void served(Message answer) {
            over(Witness.Ending.ANSWERED, () -> client.served(answer));
        }

        @Override
        public void denied(double retryAfterMs) {
            over(Witness.Ending.DENIED, () -> client.denied(retryAfterMs));
        }

        @Override
        public void failed(boolean late) {
            over(Witness.Ending.FAILED, () -> client.failed(late));
        }

        @Override
        public boolean waits() {
            return client.waits();
        }

        /** Another session has its id: what is known by the id is that one's. */
        @Override
        public void duplicate() {
            onLoop(() -> {
                open.remove(client);
                client.duplicate();
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
