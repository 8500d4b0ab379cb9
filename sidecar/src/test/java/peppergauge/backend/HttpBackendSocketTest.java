package peppergauge.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.hc.core5.pool.StrictConnPool;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.LateAcceptServer;
import peppergauge.RealTimeTestBase;
import peppergauge.ScriptedServer;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.memory.MessageMemory;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.LargeBodies;
import peppergauge.request.Message;
import peppergauge.sockets.EventLoop;

/**
 * Attempts on real sockets, with changes of their connections exactly when an attempt starts, waits or ends. Races
 * are forced: simultaneous events happen within one task of the event loop's thread.
 */
public class HttpBackendSocketTest extends RealTimeTestBase {

    private static final double CONNECT_TIMEOUT_MS = 2_000;
    private static final double IDLE_TIMEOUT_MS = 60_000;
    private static final double LONG_TIMEOUT_MS = 20_000;
    /** Tests that reuse connections at once do without a quiet period. */
    private static final double NO_QUIET_MS = 0;

    private static final int MAX_CONNECTIONS = 100;
    private static final int MIN_BUFFER_BYTES = 4_096;
    private static final ScriptedServer.Script ECHO = (request, connection) ->
            ScriptedServer.write(connection, ScriptedServer.okResponse(request.header("X-Txn")));

    /** A backend with its own event loop. */
    private static final class BackendFixture implements Closeable {

        private final EventLoop loop = new EventLoop();
        private final Clock clock;
        private final HttpBackend backend;

        BackendFixture(int maxConnections) {
            this(maxConnections, CONNECT_TIMEOUT_MS);
        }

        BackendFixture(int maxConnections, double connectTimeoutMs) {
            this(maxConnections, connectTimeoutMs, NO_QUIET_MS, new Clock(), MessageMemory.ofHeap(0.25));
        }

        BackendFixture(int maxConnections, double connectTimeoutMs, double quietMs, Clock clock, MessageMemory memory) {
            this.clock = clock;
            backend = new HttpBackend(
                    clock,
                    loop,
                    clock::nowMs,
                    List.of(),
                    new ConnectionLimits(connectTimeoutMs, IDLE_TIMEOUT_MS, quietMs, maxConnections),
                    LargeBodies.NONE,
                    memory);
            loop.start(new EventLoop.RoundListener() {}, () -> {});
        }

        /** Starts an attempt immediately; only on the event loop's thread. */
        PendingAttempt send(String address, String id, double timeoutMs) {
            return send(address, id, new byte[1], timeoutMs);
        }

        PendingAttempt send(String address, String id, byte[] body, double timeoutMs) {
            CompletableFuture<Backend.Result> result = new CompletableFuture<>();
            Message message = new Message("POST", "/gift/k", List.of(new Message.Field("X-Txn", id)), body);
            Backend.Exchange exchange = backend.send(
                    new Backend.Server(address, address), message, clock.nowMs() + timeoutMs, result::complete);
            return new PendingAttempt(exchange, result);
        }

        Backend.Result exchange(String address, String id) throws Exception {
            return startAttempt(address, id).result();
        }

        PendingAttempt startAttempt(String address, String id) throws Exception {
            return inOneRound(() -> send(address, id, LONG_TIMEOUT_MS));
        }

        /** Runs a step in one task of the event loop; input that arrives meanwhile is not read. */
        <T> T inOneRound(Step<T> step) throws Exception {
            CompletableFuture<T> done = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    done.complete(step.run());
                } catch (Exception failed) {
                    done.completeExceptionally(failed);
                }
            });
            return done.get(30, TimeUnit.SECONDS);
        }

        /** Returns when all input that had arrived before this call is read and completely handled. */
        void awaitInputHandled() throws Exception {
            for (int rounds = 0; rounds < 4; rounds++) {
                inOneRound(() -> null);
            }
        }

        /** Opens a number of connections to a server and leaves them idle. */
        void openIdle(GatedServer server, int connections) throws Exception {
            List<PendingAttempt> attempts = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                attempts.add(startAttempt(server.server.address(), "open" + i));
            }
            server.gate.release(connections);
            for (PendingAttempt attempt : attempts) {
                assertEquals(attempt.result().outcome(), Outcome.SUCCESS);
            }
            assertEquals(server.server.connections.size(), connections);
            awaitInputHandled();
        }

        /** Limits the kernel's buffers of idle connections, so that long requests are not written at once. */
        void limitBuffersOfIdleConnections() throws Exception {
            ConnectionPool connections = (ConnectionPool) privateField(backend, "connections");
            StrictConnPool<?, ?> pool = (StrictConnPool<?, ?>) privateField(connections, "pool");
            inOneRound(() -> {
                pool.enumAvailable(entry -> ((ServerConnection) entry.getConnection()).limitBuffers(MIN_BUFFER_BYTES));
                return null;
            });
        }

        private static Object privateField(Object owner, String name) throws ReflectiveOperationException {
            Field field = owner.getClass().getDeclaredField(name);
            field.setAccessible(true);
            return field.get(owner);
        }

        @Override
        public void close() {
            loop.close();
        }
    }

    interface Step<T> {
        T run() throws Exception;
    }

    /** An attempt that has been started. */
    private record PendingAttempt(Backend.Exchange exchange, CompletableFuture<Backend.Result> ended) {

        /** Cancels or aborts the attempt; returns whether it was unsent. */
        boolean stop(boolean cancel) {
            return cancel ? exchange.cancelIfUnsent() : exchange.abort();
        }

        Backend.Result result() throws Exception {
            return ended.get(30, TimeUnit.SECONDS);
        }
    }

    /**
     * A server that responds to each request only when a permit is released, and reads no second request on a
     * connection: the kernel delays the close of a socket until its last read has returned.
     */
    private static final class GatedServer implements Closeable {

        private final Semaphore gate = new Semaphore(0);
        private final CountDownLatch closed = new CountDownLatch(1);
        private final ScriptedServer server;

        GatedServer() throws IOException {
            server = new ScriptedServer((request, connection) -> {
                gate.acquire();
                ECHO.answer(request, connection);
                closed.await();
            });
        }

        @Override
        public void close() throws IOException {
            closed.countDown();
            gate.release(1_000);
            server.close();
        }
    }

    private static String body(Backend.Result result) {
        return result.response() == null ? null : new String(result.response().body(), StandardCharsets.ISO_8859_1);
    }

    private static List<String> ids(List<ScriptedServer.Request> requests) {
        return requests.stream().map(request -> request.header("X-Txn")).toList();
    }

    // ---- Connection limit ----

    @DataProvider
    public Object[][] connectionLimits() {
        return new Object[][] {{1}, {4}, {20}, {60}};
    }

    /** A closed socket counts for two more rounds; attempts that wait for it must not fail meanwhile. */
    @Test(dataProvider = "connectionLimits")
    public void closesIdleConnectionsToOtherServersForABurst(int maxConnections) throws Exception {
        try (GatedServer idle = new GatedServer();
                ScriptedServer wanted = new ScriptedServer(ECHO);
                BackendFixture backend = new BackendFixture(maxConnections)) {
            int pooled = (int) Math.ceil(maxConnections * 0.9);
            backend.openIdle(idle, pooled);
            List<PendingAttempt> burst = backend.inOneRound(() -> {
                List<PendingAttempt> attempts = new ArrayList<>();
                for (int i = 0; i < pooled; i++) {
                    attempts.add(backend.send(wanted.address(), "burst" + i, LONG_TIMEOUT_MS));
                }
                return attempts;
            });
            int succeeded = 0;
            for (PendingAttempt attempt : burst) {
                succeeded += attempt.result().outcome() == Outcome.SUCCESS ? 1 : 0;
            }
            assertEquals(succeeded, pooled);
        }
    }

    @Test
    public void failsAtOnceWithoutAFreeConnectionAndSucceedsWithOne() throws Exception {
        try (GatedServer busy = new GatedServer();
                ScriptedServer other = new ScriptedServer(ECHO);
                BackendFixture backend = new BackendFixture(4)) {
            List<PendingAttempt> pending = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                pending.add(backend.startAttempt(busy.server.address(), "out" + i));
            }
            ScriptedServer.await(() -> busy.server.requests.size() == 4);
            PendingAttempt rejected = backend.startAttempt(other.address(), "refused");
            assertEquals(rejected.ended.getNow(null).outcome(), Outcome.UNREACHABLE);
            busy.gate.release();
            ScriptedServer.await(() -> pending.stream().anyMatch(attempt -> attempt.ended.isDone()));
            assertEquals(body(backend.exchange(other.address(), "next")), "next");
            assertEquals(ids(other.requests), List.of("next"));
        }
    }

    // ---- Quiet period ----

    private static final double QUIET_MS = 20;

    /** A clock that a test sets. */
    private static final class ManualClock extends Clock {

        private volatile double nowMs;

        ManualClock() {
            super(0);
        }

        @Override
        public double nowMs() {
            return nowMs;
        }
    }

    private static BackendFixture fixtureWithQuietPeriod(int maxConnections, Clock clock) {
        return new BackendFixture(maxConnections, CONNECT_TIMEOUT_MS, QUIET_MS, clock, MessageMemory.ofHeap(0.25));
    }

    /** What a server sends on top of its response. */
    @DataProvider
    public Object[][] surplusInput() {
        String rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
        String error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
        return new Object[][] {
            {ScriptedServer.okResponse("first")},
            {rejection},
            {error},
            {"HTTP/1.1 100 Continue\r\n\r\n" + ScriptedServer.okResponse("first")},
            {"HTTP/1.1 200 OK\r\nContent-Len"},
            {"noise"},
        };
    }

    /** The same for servers whose responses are worth the wait for a connection, and for faster ones. */
    @DataProvider
    public Object[][] surplusInputAfterLatency() {
        return Arrays.stream(surplusInput())
                .flatMap(row -> Stream.of(new Object[] {row[0], QUIET_MS}, new Object[] {row[0], 0.0}))
                .toArray(Object[][]::new);
    }

    /** Responds to the first request after a latency by the clock, and to others at once. */
    private static ScriptedServer.Script echoAfter(double latencyMs, ManualClock clock) {
        return (request, connection) -> {
            if (request.header("X-Txn").equals("first")) {
                clock.nowMs += latencyMs;
            }
            ECHO.answer(request, connection);
        };
    }

    /** A server that sends surplus input on its first connection, after a first response, when told to. */
    private static ScriptedServer serverWithSurplusInput(
            ScriptedServer.Script script, String surplus, Semaphore isSurplusDue) throws IOException {
        return new ScriptedServer((request, connection) -> {
            script.answer(request, connection);
            if (request.header("X-Txn").equals("first")) {
                isSurplusDue.acquire();
                ScriptedServer.write(connection, surplus);
            }
        });
    }

    /** A late second copy of a response was read as the response to the next request on its connection (review/1). */
    @Test(dataProvider = "surplusInputAfterLatency")
    public void readsNoSurplusInputAsTheResponseToTheNextRequest(String surplus, double latencyMs) throws Exception {
        Semaphore isSurplusDue = new Semaphore(0);
        ManualClock clock = new ManualClock();
        try (ScriptedServer server = serverWithSurplusInput(echoAfter(latencyMs, clock), surplus, isSurplusDue);
                BackendFixture backend = fixtureWithQuietPeriod(MAX_CONNECTIONS, clock)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            clock.nowMs += QUIET_MS / 2;
            PendingAttempt next = backend.startAttempt(server.address(), "next");
            isSurplusDue.release();
            // The server's thread closes its socket when the backend has closed the connection.
            ScriptedServer.await(() -> server.connections.get(0).isClosed());
            clock.nowMs += QUIET_MS / 2;
            assertEquals(next.result().outcome(), Outcome.SUCCESS);
            assertEquals(body(next.result()), "next");
            clock.nowMs += QUIET_MS;
            assertEquals(body(backend.exchange(server.address(), "last")), "last");
            assertEquals(ids(server.requests), List.of("first", "next", "last"));
        }
    }

    /** Input that is still unread when the quiet period ends, as after a delay of the event loop, is no response. */
    @Test(dataProvider = "surplusInput")
    public void readsNoSurplusInputThatIsUnreadWhenTheQuietPeriodEnds(String surplus) throws Exception {
        Semaphore isSurplusDue = new Semaphore(0);
        ManualClock clock = new ManualClock();
        try (ScriptedServer server = serverWithSurplusInput(ECHO, surplus, isSurplusDue);
                BackendFixture backend = fixtureWithQuietPeriod(MAX_CONNECTIONS, clock)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            PendingAttempt next = backend.inOneRound(() -> {
                isSurplusDue.release();
                ScriptedServer.await(() -> !isSurplusDue.hasQueuedThreads() && isSurplusDue.availablePermits() == 0);
                ScriptedServer.pause(50);
                clock.nowMs = QUIET_MS;
                return backend.send(server.address(), "next", LONG_TIMEOUT_MS);
            });
            assertEquals(next.result().outcome(), Outcome.SUCCESS);
            assertEquals(body(next.result()), "next");
            assertEquals(ids(server.requests), List.of("first", "next"));
        }
    }

    @Test
    public void usesAConnectionAgainAfterItsQuietPeriod() throws Exception {
        ManualClock clock = new ManualClock();
        try (ScriptedServer server = new ScriptedServer(echoAfter(QUIET_MS, clock));
                BackendFixture backend = fixtureWithQuietPeriod(MAX_CONNECTIONS, clock)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            clock.nowMs += QUIET_MS - 1;
            PendingAttempt early = backend.startAttempt(server.address(), "early");
            ScriptedServer.pause((long) (2 * QUIET_MS));
            assertEquals(ids(server.requests), List.of("first"), "requests in the quiet period");
            clock.nowMs += 1;
            assertEquals(body(early.result()), "early");
            clock.nowMs += 2 * QUIET_MS;
            assertEquals(body(backend.exchange(server.address(), "later")), "later");
            assertEquals(server.connections.size(), 1);
        }
    }

    /** Each connection in its quiet period is awaited by one attempt; a further one uses a new connection. */
    @Test
    public void opensAConnectionIfAllInTheirQuietPeriodsAreAwaited() throws Exception {
        ManualClock clock = new ManualClock();
        try (ScriptedServer server = new ScriptedServer(echoAfter(QUIET_MS, clock));
                BackendFixture backend = fixtureWithQuietPeriod(MAX_CONNECTIONS, clock)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            PendingAttempt awaiting = backend.startAttempt(server.address(), "awaiting");
            assertEquals(body(backend.exchange(server.address(), "other")), "other");
            assertEquals(server.connections.size(), 2);
            clock.nowMs += QUIET_MS;
            assertEquals(body(awaiting.result()), "awaiting");
            assertEquals(server.connections.size(), 2);
        }
    }

    @Test(dataProvider = "cancellations")
    public void usesAConnectionWhoseAwaitingAttemptIsCancelled(boolean cancel) throws Exception {
        ManualClock clock = new ManualClock();
        try (ScriptedServer server = new ScriptedServer(echoAfter(QUIET_MS, clock));
                BackendFixture backend = fixtureWithQuietPeriod(MAX_CONNECTIONS, clock)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            PendingAttempt gone = backend.startAttempt(server.address(), "gone");
            assertTrue(backend.inOneRound(() -> gone.stop(cancel)));
            clock.nowMs += QUIET_MS;
            ScriptedServer.pause((long) (2 * QUIET_MS));
            backend.awaitInputHandled();
            assertEquals(body(backend.exchange(server.address(), "next")), "next");
            assertEquals(ids(server.requests), List.of("first", "next"));
            assertEquals(server.connections.size(), 1);
        }
    }

    /** Requests to servers that respond in less than the quiet period waited, and some were rejected meanwhile. */
    @Test
    public void opensAConnectionIfTheQuietPeriodEndsLaterThanAResponseWouldCome() throws Exception {
        ManualClock clock = new ManualClock();
        try (ScriptedServer server = new ScriptedServer(echoAfter(QUIET_MS / 4, clock));
                BackendFixture backend = fixtureWithQuietPeriod(MAX_CONNECTIONS, clock)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            clock.nowMs += QUIET_MS / 2;
            assertEquals(body(backend.exchange(server.address(), "early")), "early");
            assertEquals(server.connections.size(), 2);
            clock.nowMs += QUIET_MS / 2;
            assertEquals(body(backend.exchange(server.address(), "later")), "later");
            assertEquals(server.connections.size(), 2);
        }
    }

    /** On a busy machine, copies came later than the usual quiet period, and were read as responses. */
    @Test
    public void extendsQuietPeriodsForATimeAfterUnexpectedInput() throws Exception {
        ManualClock clock = new ManualClock();
        Semaphore isSurplusDue = new Semaphore(1);
        try (ScriptedServer server = new ScriptedServer(ECHO);
                ScriptedServer faulty = serverWithSurplusInput(ECHO, "noise", isSurplusDue);
                BackendFixture backend = fixtureWithQuietPeriod(MAX_CONNECTIONS, clock)) {
            assertEquals(body(backend.exchange(faulty.address(), "first")), "first");
            ScriptedServer.await(() -> faulty.connections.get(0).isClosed());
            double extendedMs = QuietPeriod.EXTENDED_MULTIPLE * QUIET_MS;
            assertEquals(connectionsAfterPause(backend, server, extendedMs - 1, clock), 2);
            assertEquals(connectionsAfterPause(backend, server, extendedMs, clock), 2);
            clock.nowMs += QuietPeriod.EXTENSION_MS;
            assertEquals(connectionsAfterPause(backend, server, QUIET_MS, clock), 2);
        }
    }

    /** Sends two requests with a pause between; returns how many connections have been opened since the start. */
    private static int connectionsAfterPause(
            BackendFixture backend, ScriptedServer server, double pauseMs, ManualClock clock) throws Exception {
        assertEquals(body(backend.exchange(server.address(), "before")), "before");
        clock.nowMs += pauseMs;
        assertEquals(body(backend.exchange(server.address(), "after")), "after");
        clock.nowMs += QuietPeriod.EXTENDED_MULTIPLE * QUIET_MS;
        return server.connections.size();
    }

    /** With the pool full, a connection would have to be closed for a new one. */
    @Test
    public void awaitsTheQuietPeriodIfThePoolIsFull() throws Exception {
        ManualClock clock = new ManualClock();
        try (ScriptedServer server = new ScriptedServer(ECHO);
                BackendFixture backend = fixtureWithQuietPeriod(1, clock)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            PendingAttempt next = backend.startAttempt(server.address(), "next");
            ScriptedServer.pause((long) (2 * QUIET_MS));
            assertEquals(ids(server.requests), List.of("first"), "requests in the quiet period");
            clock.nowMs += QUIET_MS;
            assertEquals(body(next.result()), "next");
            assertEquals(server.connections.size(), 1);
        }
    }

    /** With the pool full, a connection in its quiet period is closed for one to another server. */
    @Test
    public void closesAConnectionInItsQuietPeriodIfThePoolIsFull() throws Exception {
        ManualClock clock = new ManualClock();
        try (ScriptedServer server = new ScriptedServer(ECHO);
                ScriptedServer other = new ScriptedServer(ECHO);
                BackendFixture backend = fixtureWithQuietPeriod(1, clock)) {
            for (ScriptedServer next : List.of(server, other, server)) {
                assertEquals(body(backend.exchange(next.address(), "t")), "t");
            }
            assertEquals(server.connections.size(), 2);
            assertEquals(other.connections.size(), 1);
        }
    }

    // ---- Memory for responses ----

    private static final int LARGE_BODY_BYTES = 60_000;

    /** Responses wait for memory instead of failing, and are read one after the other. */
    @Test
    public void readsLargeResponsesOneAfterTheOtherIfThereIsMemoryForOne() throws Exception {
        String large = "x".repeat(LARGE_BODY_BYTES);
        MessageMemory memory = new MessageMemory(LARGE_BODY_BYTES + 1_000);
        try (ScriptedServer server = ScriptedServer.respondingWith(ScriptedServer.okResponse(large));
                BackendFixture backend =
                        new BackendFixture(MAX_CONNECTIONS, CONNECT_TIMEOUT_MS, NO_QUIET_MS, new Clock(), memory)) {
            List<PendingAttempt> attempts = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                attempts.add(backend.startAttempt(server.address(), "t" + i));
            }
            for (PendingAttempt attempt : attempts) {
                assertEquals(attempt.result().outcome(), Outcome.SUCCESS);
                assertEquals(attempt.result().response().body().length, LARGE_BODY_BYTES);
            }
            assertEquals((long) backend.inOneRound(memory::heldBytes), 0);
        }
    }

    /** A response for which there is no memory is not read; its attempt can be aborted, and small ones go on. */
    @Test
    public void readsSmallResponsesWhileALargeOneWaitsForMemory() throws Exception {
        MessageMemory memory = new MessageMemory(LARGE_BODY_BYTES);
        ScriptedServer.Script script = (request, connection) -> ScriptedServer.write(
                connection,
                ScriptedServer.okResponse(
                        request.header("X-Txn").equals("large") ? "x".repeat(LARGE_BODY_BYTES) : "small"));
        try (ScriptedServer server = new ScriptedServer(script);
                BackendFixture backend =
                        new BackendFixture(MAX_CONNECTIONS, CONNECT_TIMEOUT_MS, NO_QUIET_MS, new Clock(), memory)) {
            MessageMemory.Reservation other = memory.newReservation();
            backend.inOneRound(() -> {
                other.grow(1);
                return null;
            });
            PendingAttempt large = backend.startAttempt(server.address(), "large");
            ScriptedServer.await(() -> server.requests.size() == 1);
            backend.awaitInputHandled();
            assertEquals(body(backend.exchange(server.address(), "t")), "small");
            assertFalse(large.ended.isDone());
            backend.inOneRound(() -> large.stop(false));
            backend.inOneRound(() -> {
                other.release();
                return null;
            });
            assertEquals((long) backend.inOneRound(memory::heldBytes), 0);
            assertEquals(backend.exchange(server.address(), "large").response().body().length, LARGE_BODY_BYTES);
        }
    }

    // ---- Established connections ----

    /** How a server ends idle connections, and their number. */
    @DataProvider
    public Object[][] staleConnections() {
        Act close = Socket::close;
        Act reset = connection -> {
            connection.setSoLinger(true, 0);
            connection.close();
        };
        Act partOfALine = connection -> {
            ScriptedServer.write(connection, "HTTP/1.1 408 Ti");
            connection.close();
        };
        Act halfClosed = Socket::shutdownOutput;
        return new Object[][] {
            {close, 1},
            {close, 3},
            {close, 12},
            {reset, 1},
            {reset, 12},
            {partOfALine, 1},
            {partOfALine, 12},
            {halfClosed, 1},
            {halfClosed, 12},
        };
    }

    interface Act {
        void apply(Socket connection) throws IOException;
    }

    /** The end of a connection is unread when the request is to be written; the request is sent once, on a new one. */
    @Test(dataProvider = "staleConnections")
    public void skipsConnectionsThatTheirServerHasEnded(Act end, int connections) throws Exception {
        try (GatedServer server = new GatedServer();
                BackendFixture backend = new BackendFixture(MAX_CONNECTIONS)) {
            backend.openIdle(server, connections);
            server.gate.release();
            PendingAttempt attempt = backend.inOneRound(() -> {
                for (Socket connection : server.server.connections) {
                    end.apply(connection);
                }
                return backend.send(server.server.address(), "next", LONG_TIMEOUT_MS);
            });
            assertEquals(attempt.result().outcome(), Outcome.SUCCESS);
            assertEquals(body(attempt.result()), "next");
            assertEquals(
                    ids(server.server.requests).stream().filter("next"::equals).count(), 1);
        }
    }

    /** A server that closes each new connection is unreachable, after a few tries. */
    @Test
    public void failsIfTheServerClosesEachNewConnection() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                BackendFixture backend = new BackendFixture(MAX_CONNECTIONS)) {
            Semaphore closed = new Semaphore(0);
            ScriptedServer.startDaemonThread(() -> {
                while (true) {
                    listener.accept().close();
                    closed.release();
                }
            });
            Backend.Result result = backend.exchange("127.0.0.1:" + listener.getLocalPort(), "t");
            assertTrue(
                    result.outcome() == Outcome.UNREACHABLE || result.outcome() == Outcome.BROKEN,
                    "outcome " + result.outcome());
        }
    }

    /** Whether an attempt is cancelled, or else aborted, while its connection is being established. */
    @DataProvider
    public Object[][] cancellations() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "cancellations")
    public void usesAConnectionEstablishedAfterTheCancellationForTheNextRequest(boolean cancel) throws Exception {
        try (LateAcceptServer server = new LateAcceptServer();
                BackendFixture backend = new BackendFixture(1)) {
            PendingAttempt cancelledAttempt = backend.startAttempt(server.address(), "gone");
            assertTrue(backend.inOneRound(() -> cancelledAttempt.stop(cancel)));
            server.accept();
            ScriptedServer.await(() -> server.connections.size() == 1);
            backend.awaitInputHandled();
            assertEquals(body(backend.exchange(server.address(), "next")), "next");
            assertEquals(body(backend.exchange(server.address(), "again")), "again");
            assertEquals(ids(server.requests), List.of("next", "again"));
            assertEquals(server.connections.size(), 1);
            assertFalse(cancelledAttempt.ended.isDone(), "a cancelled attempt reports no result");
        }
    }

    /** With a limit of one connection: a connection that is not established is returned exactly once. */
    @Test(dataProvider = "cancellations")
    public void returnsAConnectionThatIsNeverEstablished(boolean cancel) throws Exception {
        try (LateAcceptServer server = new LateAcceptServer();
                ScriptedServer other = new ScriptedServer(ECHO);
                BackendFixture backend = new BackendFixture(1, 100)) {
            PendingAttempt cancelledAttempt = backend.startAttempt(server.address(), "gone");
            assertTrue(backend.inOneRound(() -> cancelledAttempt.stop(cancel)));
            ScriptedServer.await(() -> backend.exchange(other.address(), "next").outcome() == Outcome.SUCCESS);
            assertEquals(backend.exchange(server.address(), "late").outcome(), Outcome.UNREACHABLE);
            assertEquals(backend.exchange(other.address(), "again").outcome(), Outcome.SUCCESS);
        }
    }

    /** Cancelled in the round in which the attempt leases its connection, before anything is written. */
    @Test(dataProvider = "cancellations")
    public void writesNothingOfAnAttemptThatIsCancelledBeforeItsFirstByte(boolean cancel) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ECHO);
                BackendFixture backend = new BackendFixture(1)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            backend.awaitInputHandled();
            PendingAttempt cancelledAttempt = backend.inOneRound(() -> {
                PendingAttempt attempt = backend.send(server.address(), "gone", LONG_TIMEOUT_MS);
                assertTrue(attempt.stop(cancel));
                return attempt;
            });
            backend.awaitInputHandled();
            assertEquals(body(backend.exchange(server.address(), "next")), "next");
            assertEquals(ids(server.requests), List.of("first", "next"));
            assertFalse(cancelledAttempt.ended.isDone(), "a cancelled attempt reports no result");
        }
    }

    // ---- Truncated requests ----

    /** A server's reaction to a long request that its kernel has accepted only in part. */
    @DataProvider
    public Object[][] reactionsToATruncatedRequest() {
        Act unsolicitedResponse = connection -> ScriptedServer.write(connection, ScriptedServer.okResponse("stray"));
        Act close = Socket::close;
        Act reset = connection -> {
            connection.setSoLinger(true, 0);
            connection.close();
        };
        return new Object[][] {{unsolicitedResponse}, {close}, {reset}};
    }

    /** A 200 before the last byte is not a response to this request, but to an earlier one, or unsolicited. */
    @Test(dataProvider = "reactionsToATruncatedRequest")
    public void neitherCompletesNorRetriesARequestWhoseLastByteIsNotWritten(Act reaction) throws Exception {
        try (ServerSocket listener = new ServerSocket();
                BackendFixture backend = new BackendFixture(MAX_CONNECTIONS)) {
            listener.setReceiveBufferSize(MIN_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Semaphore accepted = new Semaphore(0);
            CompletableFuture<String> startedHead = new CompletableFuture<>();
            ScriptedServer.startDaemonThread(() -> {
                Socket connection = listener.accept();
                accepted.release();
                ECHO.answer(ScriptedServer.readRequest(connection.getInputStream()), connection);
                startedHead.complete(ScriptedServer.readHead(connection.getInputStream()));
                reaction.apply(connection);
                listener.accept();
                accepted.release();
            });
            String address = "127.0.0.1:" + listener.getLocalPort();
            assertEquals(body(backend.exchange(address, "first")), "first");
            backend.awaitInputHandled();
            backend.limitBuffersOfIdleConnections();
            PendingAttempt attempt =
                    backend.inOneRound(() -> backend.send(address, "long", new byte[60_000], LONG_TIMEOUT_MS));
            assertTrue(startedHead.get(10, TimeUnit.SECONDS).contains("long"));
            assertEquals(attempt.result().outcome(), Outcome.BROKEN);
            backend.awaitInputHandled();
            assertEquals(accepted.availablePermits(), 1);
        }
    }

    /** The server has the complete request, which may have run before the reset. */
    @Test
    public void doesNotRetryAfterAResetThatFollowsTheLastByte() throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, connection) -> {
                    gate.await();
                    connection.setSoLinger(true, 0);
                    connection.close();
                });
                BackendFixture backend = new BackendFixture(MAX_CONNECTIONS)) {
            PendingAttempt attempt = backend.startAttempt(server.address(), "t");
            ScriptedServer.await(() -> server.requests.size() == 1);
            backend.awaitInputHandled();
            assertFalse(attempt.ended.isDone());
            gate.countDown();
            assertEquals(attempt.result().outcome(), Outcome.BROKEN);
            backend.awaitInputHandled();
            assertEquals(server.requests.size(), 1);
        }
    }

    // ---- Timeouts ----

    /** The server's response would be discarded. */
    @Test
    public void doesNotSendARequestWhoseDeadlineHasPassed() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ECHO);
                BackendFixture backend = new BackendFixture(MAX_CONNECTIONS)) {
            assertEquals(body(backend.exchange(server.address(), "first")), "first");
            backend.awaitInputHandled();
            PendingAttempt late = backend.inOneRound(() -> backend.send(server.address(), "late", -1));
            assertEquals(late.result().outcome(), Outcome.NEVER_SENT);
            assertEquals(body(backend.exchange(server.address(), "next")), "next");
            assertEquals(ids(server.requests), List.of("first", "next"));
        }
    }

    /** Calculated when the request is written, not when its connection is requested. */
    @Test
    public void remainingTimeIsThatAfterItsConnectionIsEstablished() throws Exception {
        try (LateAcceptServer server = new LateAcceptServer();
                BackendFixture backend = new BackendFixture(MAX_CONNECTIONS)) {
            double beginMs = backend.clock.nowMs();
            PendingAttempt attempt = backend.inOneRound(() -> backend.send(server.address(), "t", LONG_TIMEOUT_MS));
            backend.awaitInputHandled();
            server.accept();
            ScriptedServer.await(() -> server.connections.size() == 1);
            double establishedMs = backend.clock.nowMs();
            assertEquals(body(attempt.result()), "t");
            double headerMs = Double.parseDouble(server.requests.get(0).header("X-Remaining-Ms"));
            double remainingMs = beginMs + LONG_TIMEOUT_MS - establishedMs;
            assertTrue(
                    headerMs <= remainingMs + 150 && headerMs > remainingMs - 5_000,
                    "header " + headerMs + " ms, remaining " + remainingMs + " ms");
        }
    }

    // ---- Responses ----

    /** The part of a response that has been written when its attempt is aborted. */
    @DataProvider
    public Object[][] partialResponses() {
        return new Object[][] {
            {""},
            {"HTTP/1.1 20"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfi"},
        };
    }

    @Test(dataProvider = "partialResponses")
    public void discardsTheRestOfTheResponseToAnAbortedAttempt(String part) throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        CompletableFuture<Integer> closed = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((request, connection) -> {
                    if (request.header("X-Txn").equals("gone")) {
                        ScriptedServer.write(connection, part);
                        written.countDown();
                        closed.complete(connection.getInputStream().read());
                        ScriptedServer.write(connection, ScriptedServer.okResponse("gone"));
                    } else {
                        ECHO.answer(request, connection);
                    }
                });
                BackendFixture backend = new BackendFixture(MAX_CONNECTIONS)) {
            PendingAttempt abortedAttempt = backend.startAttempt(server.address(), "gone");
            written.await();
            backend.awaitInputHandled();
            assertFalse(backend.inOneRound(abortedAttempt.exchange::abort));
            assertEquals(body(backend.exchange(server.address(), "next")), "next");
            assertEquals((int) closed.get(10, TimeUnit.SECONDS), -1);
        }
    }

    /** The start of an endless response, and the part that is written repeatedly. */
    @DataProvider
    public Object[][] endlessResponses() {
        String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        return new Object[][] {
            {chunked, "400\r\n" + "x".repeat(1_024) + "\r\n"}, {chunked, "0".repeat(1_024)},
            {chunked + "1;", "x".repeat(1_024)}, {chunked + "0\r\n", "X-More: 1\r\n".repeat(100)},
            {chunked + "0\r\nX-More: ", "x".repeat(1_024)}, {"", "HTTP/1.1 102 Wait\r\n\r\n".repeat(50)},
            {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n".repeat(100)}, {"", "\r\n".repeat(500)},
        };
    }

    /** Fails long before the attempt times out, and before the response fills the memory. */
    @Test(dataProvider = "endlessResponses")
    public void readsOnlyASmallPartOfAnEndlessResponse(String start, String repeated) throws Exception {
        int maxBytes = 8 * 1024 * 1024;
        try (ScriptedServer server = new ScriptedServer((request, connection) -> {
                    ScriptedServer.write(connection, start);
                    for (int sent = 0; sent < maxBytes; sent += repeated.length()) {
                        ScriptedServer.write(connection, repeated);
                    }
                    Thread.sleep((long) LONG_TIMEOUT_MS);
                });
                BackendFixture backend = new BackendFixture(MAX_CONNECTIONS)) {
            Backend.Result result =
                    backend.startAttempt(server.address(), "t").ended.get(5, TimeUnit.SECONDS);
            assertEquals(result.outcome(), Outcome.BROKEN);
        }
    }
}
