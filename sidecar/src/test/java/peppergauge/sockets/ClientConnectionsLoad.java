package peppergauge.sockets;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.invariant.Loads;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;

/** Connections that come and go in any way; places are taken and given back, and never more than there are. */
public final class ClientConnectionsLoad {

    private static final int STEPS = Loads.steps(1_500);
    private static final int PLACES = 8;

    private final SplittableRandom random;
    private final EventLoop loop = new EventLoop();
    /** What the loop would do at the end of each round: it never runs here. */
    private final List<Runnable> rounds;

    private final List<Connection> open = new ArrayList<>();
    private final ClientConnections clients;
    private double nowMs = 1_000;

    @SuppressWarnings("unchecked")
    private ClientConnectionsLoad(long seed) throws ReflectiveOperationException {
        random = new SplittableRandom(seed);
        Clock clock = new Clock(0) {
            @Override
            public double nowMs() {
                return nowMs;
            }
        };
        OverloadController<EvictableConnection, Object> overload =
                new OverloadController<>(OverloadConfig.of(List.of(1.0), 1, true, 1_000, 20, seed));
        clients = new ClientConnections(loop, PLACES, clock, overload);
        Field tasks = EventLoop.class.getDeclaredField("roundTasks");
        tasks.setAccessible(true);
        rounds = (List<Runnable>) tasks.get(loop);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) throws InterruptedException, ReflectiveOperationException {
        ClientConnectionsLoad load = new ClientConnectionsLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
        List.copyOf(load.open).forEach(Connection::close);
        load.rounds.forEach(Runnable::run);
        load.rounds.forEach(Runnable::run);
        for (int i = 0; i < PLACES; i++) {
            load.nowMs += 100;
            load.clients.awaitCapacity();
        }
        load.loop.close();
    }

    private void step() throws InterruptedException {
        nowMs += random.nextInt(40);
        if (open.size() < PLACES && random.nextInt(3) == 0) {
            // What was closed has its place back after two rounds: none is waited for here.
            rounds.forEach(Runnable::run);
            rounds.forEach(Runnable::run);
            clients.awaitCapacity();
            Connection connection = new Connection();
            open.add(connection);
            clients.onOpened(connection);
        } else if (!open.isEmpty()) {
            Connection any = open.get(random.nextInt(open.size()));
            switch (random.nextInt(6)) {
                case 0 -> any.close();
                case 1 -> clients.onReading(any);
                case 2, 3 -> clients.onRequestReceived(any);
                case 4 -> clients.onResponseSent(any, random.nextBoolean());
                default -> clients.closeIdle();
            }
        }
        if (random.nextInt(4) == 0) {
            rounds.forEach(Runnable::run);
        }
    }

    private final class Connection implements EvictableConnection {

        void close() {
            open.remove(this);
            clients.onClosed(this);
        }

        @Override
        public boolean evict() {
            if (random.nextBoolean()) {
                close();
                return true;
            }
            return false;
        }

        @Override
        public boolean closeIfIdle() {
            return random.nextInt(20) == 0 && evict();
        }
    }
}
