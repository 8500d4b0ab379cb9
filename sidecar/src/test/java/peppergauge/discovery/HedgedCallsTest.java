package peppergauge.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import peppergauge.RealTimeTestBase;
import peppergauge.ScriptedServer;
import peppergauge.coldstart.StartupPolicy;
import peppergauge.request.EndpointUpdate;
import peppergauge.sockets.EventLoop;

/**
 * Calls to a discovery that is slow or crowded. What happened: to ask again in time after an outage, calls were once
 * given up after 0.3 to 0.4 s. A discovery that many share and that needs longer then worked on calls that nobody
 * waited for any more, answered 503 to the others, and told nobody that servers drained ("discovery answered 503", 120
 * times in one play). So a call that is late stays open beside the next one, and what was late once is waited for
 * longer.
 */
public class HedgedCallsTest extends RealTimeTestBase {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LIST = "{\"version\":43,\"full\":true,\"servers\":[]}\n";
    private static final String TURNED_AWAY = "HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\n\r\n";
    /** Longer than three calls of an agent's pace take to count as unanswered. */
    private static final long SLOW_MS = 1_600;

    private static final int MOST_OPEN = 3;

    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final List<Long> askedNs = new CopyOnWriteArrayList<>();

    /** A watch, and the versions that it told. */
    private static final class Watching implements AutoCloseable, EndpointWatch.Listener {

        final List<Long> told = new CopyOnWriteArrayList<>();
        final EventLoop loop = new EventLoop();
        final EndpointWatch watch;

        Watching(ScriptedServer discovery) {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            String[] parts = discovery.address().split(":");
            watch = new EndpointWatch(
                    new InetSocketAddress(parts[0], Integer.parseInt(parts[1])),
                    new EndpointUpdateReader(List.of("a")),
                    41,
                    this,
                    loop,
                    StartupPolicy.forLocalAgent(7).pollPolicies());
            watch.start();
        }

        @Override
        public void onEndpointUpdate(EndpointUpdate table) {
            told.add(table.version());
        }

        @Override
        public void onWatchLost() {}

        @Override
        public void close() {
            watch.close();
            loop.close();
        }
    }

    private static String list() {
        return HEAD + Integer.toHexString(LIST.length()) + "\r\n" + LIST + "\r\n";
    }

    /** Whether the sidecar has its end open: it resets what it closes. A byte that it gets says nothing to it. */
    private static boolean isOpen(Socket connection) {
        try {
            connection.getOutputStream().write(' ');
            return true;
        } catch (IOException reset) {
            return false;
        }
    }

    private double gapMs(int call) {
        return (askedNs.get(call) - askedNs.get(call - 1)) / 1e6;
    }

    /** The first call's answer, which comes long after further calls were made, is taken; the others are closed. */
    @Test
    public void anAnswerThatComesAfterFurtherCallsIsTaken() throws Exception {
        open.clear();
        askedNs.clear();
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    askedNs.add(System.nanoTime());
                    open.add(connection);
                    if (open.size() == 1) {
                        Thread.sleep(SLOW_MS);
                        ScriptedServer.write(connection, list());
                    }
                });
                Watching watching = new Watching(discovery)) {
            ScriptedServer.await(() -> watching.told.size() == 1);
            assertTrue(open.size() >= MOST_OPEN, "asked " + open.size() + " times in " + SLOW_MS + " ms");
            int calls = askedNs.size();
            // Well within the silence that the watch is allowed, and past several waits for an answer.
            Thread.sleep(SLOW_MS);
            assertEquals(askedNs.size(), calls, "it asked again though it had its watch");
            assertEquals(watching.told, List.of(43L));
            for (int i = 1; i < open.size(); i++) {
                assertTrue(!isOpen(open.get(i)), "call " + i + " is still open");
            }
        }
    }

    /** However long nothing is answered, the oldest and the two newest calls stay open, and no more. */
    @Test
    public void ofCallsWithoutAnAnswerThreeStayOpen() throws Exception {
        open.clear();
        askedNs.clear();
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    open.add(connection);
                    askedNs.add(System.nanoTime());
                });
                Watching watching = new Watching(discovery)) {
            ScriptedServer.await(() -> open.size() == 8);
            ScriptedServer.await(() -> !isOpen(open.get(5)));
            assertEquals(
                    IntStream.range(0, 8)
                            .filter(i -> isOpen(open.get(i)))
                            .boxed()
                            .toList(),
                    List.of(0, 6, 7));
            assertTrue(watching.told.isEmpty());
        }
    }

    /**
     * The first call is answered late, and its watch ended. What was late is waited for: the next call, as late, gets
     * no other beside it.
     */
    @Test
    public void aServiceThatWasSlowIsNotAskedTwiceWhileItAnswers() throws Exception {
        open.clear();
        askedNs.clear();
        AtomicInteger endedAtCall = new AtomicInteger(Integer.MAX_VALUE);
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    int call = askedNs.size();
                    askedNs.add(System.nanoTime());
                    open.add(connection);
                    if (call == 0 || call >= endedAtCall.get()) {
                        Thread.sleep(SLOW_MS);
                        ScriptedServer.write(connection, list());
                    }
                });
                Watching watching = new Watching(discovery)) {
            ScriptedServer.await(() -> watching.told.size() == 1);
            endedAtCall.set(askedNs.size());
            open.get(0).close();
            ScriptedServer.await(() -> watching.told.size() == 2);
            assertEquals(askedNs.size(), endedAtCall.get() + 1, "calls until the second watch told something");
        }
    }

    /** Calls that are turned away, then none is answered: those are further apart than an agent's. */
    @Test
    public void aServiceThatTurnsCallsAwayIsAskedLessOften() throws Exception {
        int turnedAway = 3;
        askedNs.clear();
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    int call = askedNs.size();
                    askedNs.add(System.nanoTime());
                    if (call < turnedAway) {
                        ScriptedServer.write(connection, TURNED_AWAY);
                    }
                });
                Watching watching = new Watching(discovery)) {
            ScriptedServer.await(() -> askedNs.size() == turnedAway + 3);
            double[] gapsMs =
                    IntStream.range(1, turnedAway + 3).mapToDouble(this::gapMs).toArray();
            for (int call = 2; call < turnedAway; call++) {
                assertTrue(gapsMs[call - 1] > 250, "asked again " + gapsMs[call - 1] + " ms after a 503");
            }
            for (int call = turnedAway + 1; call < turnedAway + 3; call++) {
                assertTrue(gapsMs[call - 1] > 1_500, "asked again after " + gapsMs[call - 1] + " ms");
            }
            assertTrue(watching.told.isEmpty());
        }
    }
}
