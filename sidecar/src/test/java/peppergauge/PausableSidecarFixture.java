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
import peppergauge.request.RequestDispatcher;
import peppergauge.request.RequestHandler;
import peppergauge.sockets.EventLoop;

/**
 * A sidecar whose event loop a test can block: between two rounds, or at an event before the load balancer handles it.
 * The test supplies the backend servers.
 */
public final class PausableSidecarFixture implements Closeable {

    /** Called on the event loop's thread before the load balancer handles an event. */
    interface EventHook {
        void beforeEvent(LoadBalancer.Event event) throws Exception;
    }

    private static final long AWAIT_TIMEOUT_S = 20;
    private static final int CLIENT_TIMEOUT_MS = 8_000;

    volatile EventHook eventHook = event -> {};
    /** The dispatcher of clients' requests, which takes endpoint updates. */
    volatile RequestDispatcher dispatcher;
    /** Applied to each action of the load balancer. */
    volatile UnaryOperator<LoadBalancer.Action> actionMapper = UnaryOperator.identity();

    private final ScriptedServer discovery;
    private final Sidecar sidecar;
    private EventLoop loop;

    /** Starts a sidecar; {@code known}: the initial endpoints, as of {@link SidecarFixture#knownEndpoints}. */
    PausableSidecarFixture(String settings, int sockets, String known) throws Exception {
        discovery = new ScriptedServer((request, connection) ->
                ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"));
        Path file = Files.createTempFile("peppergauge", ".json");
        Files.writeString(
                file,
                SidecarFixture.configJson(discovery.address(), sockets, known)
                        .replace(SidecarFixture.SETTINGS, settings));
        sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString())), new SidecarExtension() {
            @Override
            public void onStarting(RequestHandler handler, RequestDispatcher requestDispatcher, Context context) {
                dispatcher = requestDispatcher;
            }

            @Override
            public LoadBalancer wrapLoadBalancer(LoadBalancer loadBalancer, Context context) {
                loop = context.loop();
                return (nowMs, event, actions) -> {
                    runHook(event);
                    loadBalancer.handle(nowMs, event, action -> actions.accept(actionMapper.apply(action)));
                };
            }
        });
        Files.delete(file);
        sidecar.start();
    }

    private void runHook(LoadBalancer.Event event) {
        try {
            eventHook.beforeEvent(event);
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }

    Socket client() throws IOException {
        Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort());
        client.setSoTimeout(CLIENT_TIMEOUT_MS);
        return client;
    }

    ScriptedServer.Request exchange(String message) throws IOException {
        try (Socket client = client()) {
            return SidecarFixture.exchange(client, message);
        }
    }

    /** Returns when all input that had arrived before this call is read and completely handled. */
    void awaitInputHandled() {
        for (int rounds = 0; rounds < 3; rounds++) {
            CountDownLatch done = new CountDownLatch(1);
            loop.execute(done::countDown);
            await(done);
        }
    }

    /** Blocks the event loop's thread until the returned latch is released. */
    CountDownLatch blockLoop() {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            await(release);
        });
        await(blocked);
        return release;
    }

    /** Waits far longer than it should take, since the machine may be busy. */
    static void await(CountDownLatch latch) {
        boolean released = false;
        try {
            released = latch.await(AWAIT_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (!released) {
            throw new AssertionError("timed out after " + AWAIT_TIMEOUT_S + " s waiting for a latch");
        }
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        sidecar.stop();
    }
}
