package peppergauge.daemon.start;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import peppergauge.coldstart.Greeting;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.session.Backend;
import peppergauge.session.Clock;
import peppergauge.session.Message;
import peppergauge.session.Scheduler;

/**
 * A backend whose new connections wait for their turn while the sidecar starts. Whether an attempt needs one is told by
 * what was sent through here: as many are open to a server as were out there at once, less those that broke. One that
 * has closed while it was idle counts as open still, which lets an opening through that should have waited.
 */
final class Greeted implements Backend {

    private final Backend next;
    private final Greeting greeting;
    private final Scheduler scheduler;
    private final Clock clock;
    private final Map<Server, Door> doors = new ConcurrentHashMap<>();

    /** What is thought of the connections to one server. */
    private static final class Door {

        private final AtomicInteger open = new AtomicInteger();
        private final AtomicInteger out = new AtomicInteger();
    }

    Greeted(Backend next, Greeting greeting, Scheduler scheduler, Clock clock) {
        this.next = next;
        this.greeting = greeting;
        this.scheduler = scheduler;
        this.clock = clock;
    }

    @Override
    public Exchange send(Server server, Message message, double untilMs, Consumer<Result> ended) {
        Door door = doors.computeIfAbsent(server, key -> new Door());
        double waitMs = 0;
        if (door.out.getAndIncrement() >= door.open.get()) {
            door.open.incrementAndGet();
            waitMs = greeting.openMs(clock.nowMs());
        }
        Sent sent = new Sent(door, ended);
        if (waitMs <= 0) {
            sent.exchange = next.send(server, message, untilMs, sent);
        } else {
            sent.wait = scheduler.after(waitMs, () -> sent.exchange = next.send(server, message, untilMs, sent));
        }
        return sent;
    }

    /** One attempt; only the owner's thread calls it, but for its end. */
    private static final class Sent implements Exchange, Consumer<Result> {

        private final Door door;
        private final Consumer<Result> ended;
        private final AtomicBoolean over = new AtomicBoolean();
        private Scheduler.Wait wait;
        /** Null while it waits for its turn. */
        private Exchange exchange;

        Sent(Door door, Consumer<Result> ended) {
            this.door = door;
            this.ended = ended;
        }

        private void over(boolean open) {
            if (over.compareAndSet(false, true)) {
                door.out.decrementAndGet();
                if (!open) {
                    door.open.decrementAndGet();
                }
            }
        }

        @Override
        public void accept(Result result) {
            over(result.outcome() == Outcome.SUCCESS || result.outcome() == Outcome.ERROR
                    || result.outcome() == Outcome.OVERLOADED);
            ended.accept(result);
        }

        @Override
        public boolean withdraw() {
            boolean nothing = exchange == null || exchange.withdraw();
            if (nothing) {
                drop();
            }
            return nothing;
        }

        @Override
        public boolean abandon() {
            boolean nothing = exchange == null || exchange.abandon();
            drop();
            return nothing;
        }

        private void drop() {
            if (exchange == null) {
                wait.cancel();
            }
            over(false);
        }
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        return next.probe(server, untilMs, ended);
    }

    @Override
    public void listed(Server server) {
        next.listed(server);
    }

    @Override
    public void forget(Server server) {
        doors.remove(server);
        next.forget(server);
    }
}
