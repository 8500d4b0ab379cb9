package peppergauge.sockets;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.invariant.Loads;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;

/** Opens and closes connections at random; the number of open sockets must never exceed the limit. */
public final class ClientConnectionsLoad {

    private static final int STEPS = Loads.steps(1_500);
    private static final int MAX_SOCKETS = 8;

    private final SplittableRandom random;
    private final EventLoop loop = new EventLoop();
    /** The tasks that the event loop, which does not run here, would run at the end of each round. */
    private final List<Runnable> roundTasks;

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
        clients = new ClientConnections(loop, MAX_SOCKETS, clock, overload);
        Field field = EventLoop.class.getDeclaredField("roundTasks");
        field.setAccessible(true);
        roundTasks = (List<Runnable>) field.get(loop);
    }

    /** @throws AssertionError if an invariant is violated */
    public static void run(long seed) throws InterruptedException, ReflectiveOperationException {
        ClientConnectionsLoad load = new ClientConnectionsLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
        List.copyOf(load.open).forEach(Connection::close);
        load.roundTasks.forEach(Runnable::run);
        load.roundTasks.forEach(Runnable::run);
        for (int i = 0; i < MAX_SOCKETS; i++) {
            load.nowMs += 100;
            load.clients.awaitCapacity();
        }
        load.loop.close();
    }

    private void step() throws InterruptedException {
        nowMs += random.nextInt(40);
        if (open.size() < MAX_SOCKETS && random.nextInt(3) == 0) {
            // A closed socket is available again after two rounds, so that awaitCapacity does not block here.
            roundTasks.forEach(Runnable::run);
            roundTasks.forEach(Runnable::run);
            clients.awaitCapacity();
            Connection connection = new Connection();
            open.add(connection);
            clients.onOpened(connection);
        } else if (!open.isEmpty()) {
            Connection chosen = open.get(random.nextInt(open.size()));
            switch (random.nextInt(6)) {
                case 0 -> chosen.close();
                case 1 -> clients.onReading(chosen);
                case 2, 3 -> clients.onRequestReceived(chosen);
                case 4 -> clients.onResponseSent(chosen, random.nextBoolean());
                default -> clients.closeIdle();
            }
        }
        if (random.nextInt(4) == 0) {
            roundTasks.forEach(Runnable::run);
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
