package peppergauge;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import peppergauge.config.Config;
import peppergauge.decision.LoadBalancer;
import peppergauge.sockets.EventLoop;

/**
 * A sidecar before backend servers of a test's own, whose one thread the test can hold up: anywhere between two
 * rounds, or at an event before the module is told of it.
 */
public final class PausableSidecarFixture implements Closeable {

    /** What is done before the module is told of an event, on the loop's thread. */
    interface Hook {
        void before(LoadBalancer.Event event) throws Exception;
    }

    private static final long LONGEST_WAIT_S = 20;

    volatile Hook hook = event -> {};
    /** Stands before the module's actions. */
    volatile UnaryOperator<LoadBalancer.Action> change = UnaryOperator.identity();

    private final ScriptedServer discovery;
    private final Sidecar sidecar;
    private EventLoop loop;

    /** {@code known}: the server table, as in {@link FleetCluster#known}. */
    PausableSidecarFixture(String settings, int sockets, String known) throws Exception {
        discovery = new ScriptedServer((request, connection) ->
                ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"));
        Path file = Files.createTempFile("peppergauge", ".json");
        Files.writeString(file, SidecarFixture.configJson(discovery.address(), sockets, known).replace(SidecarFixture.SETTINGS, settings));
        sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString())), new SidecarExtension() {
            @Override
            public LoadBalancer wrapLoadBalancer(LoadBalancer module, Context parts) {
                loop = parts.loop();
                return (nowMs, event, actions) -> {
                    run(event);
                    module.handle(nowMs, event, action -> actions.accept(change.apply(action)));
                };
            }
        });
        Files.delete(file);
        sidecar.start();
    }

    private void run(LoadBalancer.Event event) {
        try {
            hook.before(event);
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }

    Socket client() throws IOException {
        Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort());
        client.setSoTimeout(8_000);
        return client;
    }

    ScriptedServer.Request ask(String message) throws IOException {
        try (Socket client = client()) {
            return SidecarFixture.exchange(client, message);
        }
    }

    /** Returns once all that had come in when this was called is read, and what follows from it done. */
    void settle() {
        for (int rounds = 0; rounds < 3; rounds++) {
            CountDownLatch over = new CountDownLatch(1);
            loop.execute(over::countDown);
            await(over);
        }
    }

    /** Holds the loop's thread up from now on; whoever is handed this ends it. */
    CountDownLatch hold() {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            stands.countDown();
            await(release);
        });
        await(stands);
        return release;
    }

    /** Far longer than it should take: a sidecar on a busy machine may have denied what is waited for. */
    static void await(CountDownLatch latch) {
        boolean came = false;
        try {
            came = latch.await(LONGEST_WAIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (!came) {
            throw new AssertionError("what is waited for did not come about within " + LONGEST_WAIT_S + " s");
        }
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        sidecar.stop();
    }
}
