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
 * Tests calls to a slow or overloaded discovery. When calls were abandoned after 0.3 to 0.4 s, a slower discovery that
 * many sidecars share processed abandoned calls only, responded with 503 to the others, and no sidecar received the
 * update that servers drained (120 such responses in one run). Therefore a late call stays open as a hedged call, and a
 * late response extends the response timeout.
 */
public class HedgedCallsTest extends RealTimeTestBase {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UPDATE = "{\"version\":43,\"full\":true,\"servers\":[]}\n";
    private static final String OVERLOADED = "HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\n\r\n";
    /** Longer than the response timeouts of three calls. */
    private static final long SLOW_RESPONSE_MS = 1_600;

    private static final int MAX_OPEN_CALLS = 3;

    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final List<Long> callNanos = new CopyOnWriteArrayList<>();

    /** A watch and its event loop; records the versions of the updates. */
    private static final class WatchFixture implements AutoCloseable, EndpointWatch.Listener {

        final List<Long> versions = new CopyOnWriteArrayList<>();
        final EventLoop loop = new EventLoop();
        final EndpointWatch watch;

        WatchFixture(ScriptedServer discovery) {
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
        public void onEndpointUpdate(EndpointUpdate update) {
            versions.add(update.version());
        }

        @Override
        public void onWatchLost() {}

        @Override
        public void close() {
            watch.close();
            loop.close();
        }
    }

    private static String updateResponse() {
        return HEAD + Integer.toHexString(UPDATE.length()) + "\r\n" + UPDATE + "\r\n";
    }

    /** Whether the watch has its end open: it resets connections that it closes. It ignores the byte written here. */
    private static boolean isOpen(Socket connection) {
        try {
            connection.getOutputStream().write(' ');
            return true;
        } catch (IOException reset) {
            return false;
        }
    }

    private double intervalMs(int call) {
        return (callNanos.get(call) - callNanos.get(call - 1)) / 1e6;
    }

    /** The response to the first call arrives long after further calls were made. */
    @Test
    public void acceptsLateResponseAndClosesOtherCalls() throws Exception {
        open.clear();
        callNanos.clear();
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    callNanos.add(System.nanoTime());
                    open.add(connection);
                    if (open.size() == 1) {
                        Thread.sleep(SLOW_RESPONSE_MS);
                        ScriptedServer.write(connection, updateResponse());
                    }
                });
                WatchFixture fixture = new WatchFixture(discovery)) {
            ScriptedServer.await(() -> fixture.versions.size() == 1);
            assertTrue(open.size() >= MAX_OPEN_CALLS, "expected " + MAX_OPEN_CALLS + " calls, was " + open.size());
            int calls = callNanos.size();
            // Less than the idle timeout, more than several response timeouts.
            Thread.sleep(SLOW_RESPONSE_MS);
            assertEquals(callNanos.size(), calls, "calls after the watch was open");
            assertEquals(fixture.versions, List.of(43L));
            for (int i = 1; i < open.size(); i++) {
                assertTrue(!isOpen(open.get(i)), "expected call " + i + " to be closed");
            }
        }
    }

    /** Only the oldest and the two newest calls stay open, however long there is no response. */
    @Test
    public void keepsThreeCallsOpenWithoutResponse() throws Exception {
        open.clear();
        callNanos.clear();
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    open.add(connection);
                    callNanos.add(System.nanoTime());
                });
                WatchFixture fixture = new WatchFixture(discovery)) {
            ScriptedServer.await(() -> open.size() == 8);
            ScriptedServer.await(() -> !isOpen(open.get(5)));
            assertEquals(
                    IntStream.range(0, 8)
                            .filter(i -> isOpen(open.get(i)))
                            .boxed()
                            .toList(),
                    List.of(0, 6, 7));
            assertTrue(fixture.versions.isEmpty());
        }
    }

    /** The response to the first call is late, and its watch is closed. The next response is as late. */
    @Test
    public void makesSingleCallToSlowServiceAfterLateResponse() throws Exception {
        open.clear();
        callNanos.clear();
        AtomicInteger closedAtCall = new AtomicInteger(Integer.MAX_VALUE);
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    int call = callNanos.size();
                    callNanos.add(System.nanoTime());
                    open.add(connection);
                    if (call == 0 || call >= closedAtCall.get()) {
                        Thread.sleep(SLOW_RESPONSE_MS);
                        ScriptedServer.write(connection, updateResponse());
                    }
                });
                WatchFixture fixture = new WatchFixture(discovery)) {
            ScriptedServer.await(() -> fixture.versions.size() == 1);
            closedAtCall.set(callNanos.size());
            open.get(0).close();
            ScriptedServer.await(() -> fixture.versions.size() == 2);
            assertEquals(callNanos.size(), closedAtCall.get() + 1, "calls until the second watch delivered an update");
        }
    }

    /** The first calls are rejected because discovery is overloaded, the following ones get no response. */
    @Test
    public void callsOverloadedServiceLessOften() throws Exception {
        int rejectedCalls = 3;
        callNanos.clear();
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    int call = callNanos.size();
                    callNanos.add(System.nanoTime());
                    if (call < rejectedCalls) {
                        ScriptedServer.write(connection, OVERLOADED);
                    }
                });
                WatchFixture fixture = new WatchFixture(discovery)) {
            ScriptedServer.await(() -> callNanos.size() == rejectedCalls + 3);
            double[] intervalsMs = IntStream.range(1, rejectedCalls + 3)
                    .mapToDouble(this::intervalMs)
                    .toArray();
            for (int call = 2; call < rejectedCalls; call++) {
                assertTrue(
                        intervalsMs[call - 1] > 250, "expected over 250 ms after a 503, was " + intervalsMs[call - 1]);
            }
            for (int call = rejectedCalls + 1; call < rejectedCalls + 3; call++) {
                assertTrue(intervalsMs[call - 1] > 1_500, "expected over 1500 ms, was " + intervalsMs[call - 1]);
            }
            assertTrue(fixture.versions.isEmpty());
        }
    }
}
