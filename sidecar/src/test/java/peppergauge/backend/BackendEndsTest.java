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
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.pool.StrictConnPool;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.LateAcceptServer;
import peppergauge.RealTimeTestBase;
import peppergauge.ScriptedServer;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.LargeBodies;
import peppergauge.request.Message;
import peppergauge.sockets.EventLoop;

/**
 * Attempts on real sockets, and what their servers' connections do in the very moment in which an attempt begins,
 * waits or ends. Each crossing is forced: what has to coincide happens in one task of the loop's thread.
 */
public class BackendEndsTest extends RealTimeTestBase {

    private static final double CONNECT_MS = 2_000;
    private static final double IDLE_MS = 60_000;
    private static final double PATIENT_MS = 20_000;
    private static final int USUAL_PLACES = 100;
    private static final int SMALLEST_BUFFER = 4_096;
    private static final ScriptedServer.Script ECHO =
            (request, connection) -> ScriptedServer.write(connection, ScriptedServer.okResponse(request.header("X-Txn")));

    /** A backend on a loop of its own. */
    private static final class Ends implements Closeable {

        private final EventLoop loop = new EventLoop();
        private final Clock clock = new Clock();
        private final HttpBackend backend;

        Ends(int places) {
            this(places, CONNECT_MS);
        }

        Ends(int places, double connectMs) {
            backend =
                    new HttpBackend(clock, loop, clock::nowMs, List.of(), connectMs, IDLE_MS, places, LargeBodies.NONE);
            loop.start(new EventLoop.RoundListener() {}, () -> {});
        }

        /** Sends at once; on the loop's thread alone. */
        Sent send(String address, String id, double waitMs) {
            return send(address, id, new byte[1], waitMs);
        }

        Sent send(String address, String id, byte[] body, double waitMs) {
            CompletableFuture<Backend.Result> result = new CompletableFuture<>();
            Message message = new Message("POST", "/gift/k", List.of(new Message.Field("X-Txn", id)), body);
            return new Sent(
                    backend.send(
                            new Backend.Server(address, address), message, clock.nowMs() + waitMs, result::complete),
                    result);
        }

        Backend.Result ask(String address, String id) throws Exception {
            return sent(address, id).result();
        }

        Sent sent(String address, String id) throws Exception {
            return inOneRound(() -> send(address, id, PATIENT_MS));
        }

        /** Does this in one task: whatever comes in meanwhile stands unread. */
        <T> T inOneRound(Step<T> step) throws Exception {
            CompletableFuture<T> done = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    done.complete(step.take());
                } catch (Exception failed) {
                    done.completeExceptionally(failed);
                }
            });
            return done.get(30, TimeUnit.SECONDS);
        }

        /** Returns once all that had come in when this was called is read, and what follows from it done. */
        void settle() throws Exception {
            for (int rounds = 0; rounds < 4; rounds++) {
                inOneRound(() -> null);
            }
        }

        /** Opens so many connections to a server and leaves them idle. */
        void openIdle(Gated server, int connections) throws Exception {
            List<Sent> sent = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                sent.add(sent(server.toy.address(), "open" + i));
            }
            server.gate.release(connections);
            for (Sent each : sent) {
                assertEquals(each.result().outcome(), Outcome.SUCCESS);
            }
            assertEquals(server.toy.connections.size(), connections);
            settle();
        }

        /** The kernel takes little of what is written on connections that are idle now. */
        void boundIdle() throws Exception {
            ConnectionPool connections = (ConnectionPool) part(backend, "connections");
            StrictConnPool<?, ?> pool = (StrictConnPool<?, ?>) part(connections, "pool");
            inOneRound(() -> {
                pool.enumAvailable(entry -> ((ServerConnection) entry.getConnection()).limitBuffers(SMALLEST_BUFFER));
                return null;
            });
        }

        private static Object part(Object owner, String name) throws ReflectiveOperationException {
            Field part = owner.getClass().getDeclaredField(name);
            part.setAccessible(true);
            return part.get(owner);
        }

        @Override
        public void close() {
            loop.close();
        }
    }

    interface Step<T> {
        T take() throws Exception;
    }

    /** An attempt that is out. */
    private record Sent(Backend.Exchange exchange, CompletableFuture<Backend.Result> ended) {

        Backend.Result result() throws Exception {
            return ended.get(30, TimeUnit.SECONDS);
        }
    }

    /**
     * A server that answers each request only once it is let, and reads no other on its connection: the kernel puts off
     * the close of a socket until the last read of it has returned.
     */
    private static final class Gated implements Closeable {

        private final Semaphore gate = new Semaphore(0);
        private final CountDownLatch over = new CountDownLatch(1);
        private final ScriptedServer toy;

        Gated() throws IOException {
            toy = new ScriptedServer((request, connection) -> {
                gate.acquire();
                ECHO.answer(request, connection);
                over.await();
            });
        }

        @Override
        public void close() throws IOException {
            over.countDown();
            gate.release(1_000);
            toy.close();
        }
    }

    private static String body(Backend.Result result) {
        return result.response() == null ? null : new String(result.response().body(), StandardCharsets.ISO_8859_1);
    }

    private static List<String> ids(List<ScriptedServer.Request> requests) {
        return requests.stream().map(request -> request.header("X-Txn")).toList();
    }

    // ---- Places ----

    @DataProvider
    public Object[][] places() {
        return new Object[][] {{1}, {4}, {20}, {60}};
    }

    /** A closed socket keeps its place for two rounds: what waits for it must not fail meanwhile. */
    @Test(dataProvider = "places")
    public void idleConnectionsToOthersGiveWayToABurst(int places) throws Exception {
        try (Gated idle = new Gated();
                ScriptedServer wanted = new ScriptedServer(ECHO);
                Ends ends = new Ends(places)) {
            int pooled = (int) Math.ceil(places * 0.9);
            ends.openIdle(idle, pooled);
            List<Sent> burst = ends.inOneRound(() -> {
                List<Sent> sent = new ArrayList<>();
                for (int i = 0; i < pooled; i++) {
                    sent.add(ends.send(wanted.address(), "burst" + i, PATIENT_MS));
                }
                return sent;
            });
            int served = 0;
            for (Sent each : burst) {
                served += each.result().outcome() == Outcome.SUCCESS ? 1 : 0;
            }
            assertEquals(served, pooled);
        }
    }

    @Test
    public void withoutAPlaceAnAttemptEndsAtOnceAndWithOneItIsSentAgain() throws Exception {
        try (Gated busy = new Gated();
                ScriptedServer other = new ScriptedServer(ECHO);
                Ends ends = new Ends(4)) {
            List<Sent> out = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                out.add(ends.sent(busy.toy.address(), "out" + i));
            }
            ScriptedServer.await(() -> busy.toy.requests.size() == 4);
            Sent refused = ends.sent(other.address(), "refused");
            assertEquals(refused.ended.getNow(null).outcome(), Outcome.UNREACHABLE);
            busy.gate.release();
            ScriptedServer.await(() -> out.stream().anyMatch(each -> each.ended.isDone()));
            assertEquals(body(ends.ask(other.address(), "next")), "next");
            assertEquals(ids(other.requests), List.of("next"));
        }
    }

    // ---- Connections that came up ----

    /** What a server does with connections that are idle, and how many of them it has. */
    @DataProvider
    public Object[][] staleConnections() {
        Act close = Socket::close;
        Act reset = connection -> {
            connection.setSoLinger(true, 0);
            connection.close();
        };
        Act halfALine = connection -> {
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
            {halfALine, 1},
            {halfALine, 12},
            {halfClosed, 1},
            {halfClosed, 12},
        };
    }

    interface Act {
        void with(Socket connection) throws IOException;
    }

    /** The end stands unread when the request is to be written: it goes out once, on a connection that works. */
    @Test(dataProvider = "staleConnections")
    public void aRequestPassesOverConnectionsThatTheirServerHasEnded(Act end, int connections) throws Exception {
        try (Gated server = new Gated();
                Ends ends = new Ends(USUAL_PLACES)) {
            ends.openIdle(server, connections);
            server.gate.release();
            Sent sent = ends.inOneRound(() -> {
                for (Socket connection : server.toy.connections) {
                    end.with(connection);
                }
                return ends.send(server.toy.address(), "next", PATIENT_MS);
            });
            assertEquals(sent.result().outcome(), Outcome.SUCCESS);
            assertEquals(body(sent.result()), "next");
            assertEquals(
                    ids(server.toy.requests).stream().filter("next"::equals).count(), 1);
        }
    }

    /** A server that ends each connection as it comes up is out of reach, after a few of them. */
    @Test
    public void aServerThatTakesNoRequestIsOutOfReach() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Ends ends = new Ends(USUAL_PLACES)) {
            Semaphore closed = new Semaphore(0);
            ScriptedServer.startDaemonThread(() -> {
                while (true) {
                    listener.accept().close();
                    closed.release();
                }
            });
            Backend.Result result = ends.ask("127.0.0.1:" + listener.getLocalPort(), "t");
            assertTrue(
                    result.outcome() == Outcome.UNREACHABLE || result.outcome() == Outcome.BROKEN,
                    "outcome " + result.outcome());
        }
    }

    /** How an attempt is given up while its connection comes up. */
    @DataProvider
    public Object[][] givenUp() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "givenUp")
    public void aConnectionThatComesUpAfterItsRequestHasGoneServesTheNext(boolean withdrawn) throws Exception {
        try (LateAcceptServer server = new LateAcceptServer();
                Ends ends = new Ends(1)) {
            Sent gone = ends.sent(server.address(), "gone");
            assertTrue(ends.inOneRound(() -> withdrawn ? gone.exchange.cancelIfUnsent() : gone.exchange.abort()));
            server.accept();
            ScriptedServer.await(() -> server.connections.size() == 1);
            ends.settle();
            assertEquals(body(ends.ask(server.address(), "next")), "next");
            assertEquals(body(ends.ask(server.address(), "again")), "again");
            assertEquals(ids(server.requests), List.of("next", "again"));
            assertEquals(server.connections.size(), 1);
            assertFalse(gone.ended.isDone(), "told of an end after it was taken back");
        }
    }

    /** Of one place: a connection that never comes up gives it back, once. */
    @Test(dataProvider = "givenUp")
    public void aConnectionThatNeverComesUpGivesItsPlaceBack(boolean withdrawn) throws Exception {
        try (LateAcceptServer server = new LateAcceptServer();
                ScriptedServer other = new ScriptedServer(ECHO);
                Ends ends = new Ends(1, 100)) {
            Sent gone = ends.sent(server.address(), "gone");
            assertTrue(ends.inOneRound(() -> withdrawn ? gone.exchange.cancelIfUnsent() : gone.exchange.abort()));
            ScriptedServer.await(() -> ends.ask(other.address(), "next").outcome() == Outcome.SUCCESS);
            assertEquals(ends.ask(server.address(), "late").outcome(), Outcome.UNREACHABLE);
            assertEquals(ends.ask(other.address(), "again").outcome(), Outcome.SUCCESS);
        }
    }

    /** Taken back in the round in which it got its connection, and before that is written. */
    @Test(dataProvider = "givenUp")
    public void anAttemptThatIsTakenBackBeforeItsFirstByteIsNotWritten(boolean withdrawn) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ECHO);
                Ends ends = new Ends(1)) {
            assertEquals(body(ends.ask(server.address(), "first")), "first");
            ends.settle();
            Sent gone = ends.inOneRound(() -> {
                Sent sent = ends.send(server.address(), "gone", PATIENT_MS);
                assertTrue(withdrawn ? sent.exchange.cancelIfUnsent() : sent.exchange.abort());
                return sent;
            });
            ends.settle();
            assertEquals(body(ends.ask(server.address(), "next")), "next");
            assertEquals(ids(server.requests), List.of("first", "next"));
            assertFalse(gone.ended.isDone(), "told of an end after it was taken back");
        }
    }

    // ---- Requests that are not whole ----

    /** What a server does with a long request of which its kernel took only a part. */
    @DataProvider
    public Object[][] endsAmidARequest() {
        Act stray = connection -> ScriptedServer.write(connection, ScriptedServer.okResponse("stray"));
        Act close = Socket::close;
        Act reset = connection -> {
            connection.setSoLinger(true, 0);
            connection.close();
        };
        return new Object[][] {{stray}, {close}, {reset}};
    }

    /** A 200 before the last byte is no answer to this request: it came late to another, or at random. */
    @Test(dataProvider = "endsAmidARequest")
    public void aRequestWhoseLastByteIsNotWrittenIsNeitherServedNorSentAgain(Act end) throws Exception {
        try (ServerSocket listener = new ServerSocket();
                Ends ends = new Ends(USUAL_PLACES)) {
            listener.setReceiveBufferSize(SMALLEST_BUFFER);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Semaphore accepted = new Semaphore(0);
            CompletableFuture<String> begun = new CompletableFuture<>();
            ScriptedServer.startDaemonThread(() -> {
                Socket connection = listener.accept();
                accepted.release();
                ECHO.answer(ScriptedServer.readRequest(connection.getInputStream()), connection);
                begun.complete(ScriptedServer.readHead(connection.getInputStream()));
                end.with(connection);
                listener.accept();
                accepted.release();
            });
            String address = "127.0.0.1:" + listener.getLocalPort();
            assertEquals(body(ends.ask(address, "first")), "first");
            ends.settle();
            ends.boundIdle();
            Sent sent = ends.inOneRound(() -> ends.send(address, "long", new byte[60_000], PATIENT_MS));
            assertTrue(begun.get(10, TimeUnit.SECONDS).contains("long"));
            assertEquals(sent.result().outcome(), Outcome.BROKEN);
            ends.settle();
            assertEquals(accepted.availablePermits(), 1);
        }
    }

    /** It was whole, and the end says nothing of what became of it. */
    @Test
    public void aResetLongAfterTheLastByteMayHaveRun() throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, connection) -> {
                    gate.await();
                    connection.setSoLinger(true, 0);
                    connection.close();
                });
                Ends ends = new Ends(USUAL_PLACES)) {
            Sent sent = ends.sent(server.address(), "t");
            ScriptedServer.await(() -> server.requests.size() == 1);
            ends.settle();
            assertFalse(sent.ended.isDone());
            gate.countDown();
            assertEquals(sent.result().outcome(), Outcome.BROKEN);
            ends.settle();
            assertEquals(server.requests.size(), 1);
        }
    }

    // ---- Times ----

    /** Its server could only work for nobody. */
    @Test
    public void aRequestWhoseTimeIsOverIsNotSent() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ECHO);
                Ends ends = new Ends(USUAL_PLACES)) {
            assertEquals(body(ends.ask(server.address(), "first")), "first");
            ends.settle();
            Sent late = ends.inOneRound(() -> ends.send(server.address(), "late", -1));
            assertEquals(late.result().outcome(), Outcome.NEVER_SENT);
            assertEquals(body(ends.ask(server.address(), "next")), "next");
            assertEquals(ids(server.requests), List.of("first", "next"));
        }
    }

    /** Reckoned when it is written, not when its connection was asked for. */
    @Test
    public void theTimeToldIsWhatIsLeftOnceItsConnectionHasComeUp() throws Exception {
        try (LateAcceptServer server = new LateAcceptServer();
                Ends ends = new Ends(USUAL_PLACES)) {
            double beginMs = ends.clock.nowMs();
            Sent sent = ends.inOneRound(() -> ends.send(server.address(), "t", PATIENT_MS));
            ends.settle();
            server.accept();
            ScriptedServer.await(() -> server.connections.size() == 1);
            double upMs = ends.clock.nowMs();
            assertEquals(body(sent.result()), "t");
            double told = Double.parseDouble(server.requests.get(0).header("X-Remaining-Ms"));
            double leftMs = beginMs + PATIENT_MS - upMs;
            assertTrue(told <= leftMs + 150 && told > leftMs - 5_000, "told " + told + " of " + leftMs);
        }
    }

    // ---- Answers ----

    /** Where the first answer stands when its attempt is given up. */
    @DataProvider
    public Object[][] halfAnswers() {
        return new Object[][] {
            {""},
            {"HTTP/1.1 20"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfi"},
        };
    }

    @Test(dataProvider = "halfAnswers")
    public void theRestOfAnAnswerThatIsGivenUpReachesNobody(String half) throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        CompletableFuture<Integer> closed = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((request, connection) -> {
                    if (request.header("X-Txn").equals("gone")) {
                        ScriptedServer.write(connection, half);
                        written.countDown();
                        closed.complete(connection.getInputStream().read());
                        ScriptedServer.write(connection, ScriptedServer.okResponse("gone"));
                    } else {
                        ECHO.answer(request, connection);
                    }
                });
                Ends ends = new Ends(USUAL_PLACES)) {
            Sent gone = ends.sent(server.address(), "gone");
            written.await();
            ends.settle();
            assertFalse(ends.inOneRound(gone.exchange::abort));
            assertEquals(body(ends.ask(server.address(), "next")), "next");
            assertEquals((int) closed.get(10, TimeUnit.SECONDS), -1);
        }
    }

    /** What an answer consists of that does not end, each time it is written. */
    @DataProvider
    public Object[][] endless() {
        String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        return new Object[][] {
            {chunked, "400\r\n" + "x".repeat(1_024) + "\r\n"}, {chunked, "0".repeat(1_024)},
            {chunked + "1;", "x".repeat(1_024)}, {chunked + "0\r\n", "X-More: 1\r\n".repeat(100)},
            {chunked + "0\r\nX-More: ", "x".repeat(1_024)}, {"", "HTTP/1.1 102 Wait\r\n\r\n".repeat(50)},
            {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n".repeat(100)}, {"", "\r\n".repeat(500)},
        };
    }

    /** Long before its attempt's time is up, and before it fills the memory. */
    @Test(dataProvider = "endless")
    public void ofAnAnswerThatNeverEndsLittleIsRead(String begin, String more) throws Exception {
        int most = 8 * 1024 * 1024;
        try (ScriptedServer server = new ScriptedServer((request, connection) -> {
                    ScriptedServer.write(connection, begin);
                    for (int sent = 0; sent < most; sent += more.length()) {
                        ScriptedServer.write(connection, more);
                    }
                    Thread.sleep((long) PATIENT_MS);
                });
                Ends ends = new Ends(USUAL_PLACES)) {
            Backend.Result result = ends.sent(server.address(), "t").ended.get(5, TimeUnit.SECONDS);
            assertEquals(result.outcome(), Outcome.BROKEN);
        }
    }
}
