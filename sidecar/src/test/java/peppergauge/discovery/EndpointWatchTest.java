package peppergauge.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.RealTimeTestBase;
import peppergauge.ScriptedServer;
import peppergauge.coldstart.StartupPolicy;
import peppergauge.request.EndpointUpdate;
import peppergauge.sockets.EventLoop;

/** Tests the watch on real sockets against a scripted discovery, by the updates it reads and the calls it makes. */
public class EndpointWatchTest extends RealTimeTestBase {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** A watch and its event loop; records each update as its version, {@code !} if complete, and its servers. */
    private static final class WatchFixture implements AutoCloseable, EndpointWatch.Listener {

        final List<String> updates = new CopyOnWriteArrayList<>();
        final AtomicInteger aliveEvents = new AtomicInteger();
        final EventLoop loop = new EventLoop();
        final EndpointWatch watch;

        WatchFixture(ScriptedServer discovery, long version) {
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            EndpointUpdateReader reader = new EndpointUpdateReader(List.of("a"));
            watch = new EndpointWatch(
                    address(discovery),
                    reader,
                    version,
                    this,
                    loop,
                    StartupPolicy.forLocalAgent(7).pollPolicies());
        }

        @Override
        public void onEndpointUpdate(EndpointUpdate update) {
            updates.add(update.version()
                    + (update.complete() ? "!" : "")
                    + update.endpoints().stream()
                            .map(endpoint -> " " + endpoint.endpoint().server())
                            .reduce("", String::concat));
        }

        @Override
        public void onWatchLost() {}

        @Override
        public void onWatchAlive() {
            aliveEvents.incrementAndGet();
        }

        @Override
        public void close() {
            watch.close();
            loop.close();
        }
    }

    private static InetSocketAddress address(ScriptedServer server) {
        String[] parts = server.address().split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }

    private static String update(int version, boolean complete, String... servers) {
        StringBuilder endpoints = new StringBuilder();
        for (String server : servers) {
            endpoints
                    .append(endpoints.isEmpty() ? "" : ",")
                    .append("{\"id\":\"")
                    .append(server)
                    .append("\",\"addr\":\"h:1\",\"state\":\"active\"}");
        }
        return "{\"version\":" + version + ",\"full\":" + complete + ",\"servers\":[" + endpoints + "]}\n";
    }

    private static String indented(String update) {
        return update.replace("{", "{\r\n  ").replace(",", ",\n\n  ").replace("}]}", "\n}\n]\n}");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Responds to the calls in order with these texts; a final "/" closes the connection, "" sends nothing. */
    private static ScriptedServer discovery(String... responses) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        return new ScriptedServer((request, connection) -> {
            int call = calls.getAndIncrement();
            String response = call < responses.length ? responses[call] : HEAD;
            ScriptedServer.write(connection, response.replaceAll("/$", ""));
            if (response.endsWith("/")) {
                connection.close();
            }
        });
    }

    @DataProvider(parallel = true)
    public Object[][] responses() {
        String change = HEAD + chunk(update(43, false, "t"));
        String truncated = update(43, true, "s", "t").substring(0, 70);
        return new Object[][] {
            {
                "object over several lines",
                List.of("43! s t"),
                "41",
                new String[] {HEAD + chunk(indented(update(43, true, "s", "t")))}
            },
            {
                "object over several lines in two chunks",
                List.of("43! s t"),
                "41",
                new String[] {
                    HEAD
                            + chunk(indented(update(43, true, "s", "t")).substring(0, 40))
                            + chunk(indented(update(43, true, "s", "t")).substring(40))
                }
            },
            {
                "two objects on a line without a line break",
                List.of("42 s", "43 t"),
                "41",
                new String[] {
                    HEAD
                            + chunk(update(42, false, "s").trim() + " "
                                    + update(43, false, "t").trim())
                }
            },
            {
                "string with brackets and quotes",
                List.of("43 }\"[ t"),
                "41",
                new String[] {HEAD + chunk(update(43, false, "}\\\"[", "t"))}
            },
            {
                "watch becomes idle",
                List.of("42! s", "43 t"),
                "41 42",
                new String[] {HEAD + chunk(update(42, true, "s")), change}
            },
            {"no response to the first calls", List.of("43 t"), "41 41 41", new String[] {"", "", change}},
            {"response head only", List.of("43 t"), "41 41", new String[] {HEAD, change}},
            {
                "connection closed within an object",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + Integer.toHexString(300) + "\r\n" + truncated + "/", change}
            },
            {
                "response ends within an object",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk(truncated) + "0\r\n\r\n", change}
            },
            {"idle within an object", List.of("43 t"), "41 41", new String[] {HEAD + chunk(truncated), change}},
            {
                "heartbeats within an object",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk(truncated + "\n\n") + chunk("\n"), change}
            },
            {
                "truncated line, then an object",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk("\"version\n" + update(44, false, "u")), change}
            },
            {
                "malformed object, then a valid one",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk("{ nonsense\n" + update(44, false, "u")), change}
            },
            {
                "error status",
                List.of("43 t"),
                "41 41",
                new String[] {"HTTP/1.1 503 Not Now\r\nContent-Length: 0\r\n\r\n", change}
            },
            {
                "malformed update once",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk("{\"version\":42}\n" + update(43, false, "u")), change}
            },
            {
                "malformed update repeatedly",
                List.of("43 t"),
                "41 41",
                new String[] {
                    HEAD + chunk("{\"version\":42}\n"), HEAD + chunk("{\"version\":42}\n" + update(43, false, "t"))
                }
            },
            {
                "changes of a lower version",
                List.of("3! t"),
                "41 0",
                new String[] {HEAD + chunk(update(2, false, "s")), HEAD + chunk(update(3, true, "t"))}
            },
            {
                "complete list of a lower version",
                List.of("3! t", "4 u"),
                "41",
                new String[] {HEAD + chunk(update(3, true, "t") + update(4, false, "u"))}
            },
        };
    }

    @Test(dataProvider = "responses")
    public void readsUpdatesAndRequestsMissedOnes(
            String which, List<String> expectedUpdates, String expectedVersions, String[] responses) throws Exception {
        try (ScriptedServer discovery = discovery(responses);
                WatchFixture fixture = new WatchFixture(discovery, 41)) {
            fixture.watch.start();
            ScriptedServer.await(() -> fixture.updates.size() >= expectedUpdates.size());
            assertEquals(fixture.updates, expectedUpdates, which);
            String versions = discovery.requests.stream()
                    .map(ScriptedServer.Request::line)
                    .map(line -> line.replaceAll(".*from=(\\d+) .*", "$1"))
                    .collect(Collectors.joining(" "));
            assertEquals(versions, expectedVersions, which);
        }
    }

    /** Discovery sends a blank line every 2 s as a heartbeat. */
    @Test
    public void keepsWatchThatReceivesOnlyHeartbeats() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    ScriptedServer.write(connection, HEAD);
                    for (int heartbeat = 0; heartbeat < 3; heartbeat++) {
                        Thread.sleep(2_000);
                        ScriptedServer.write(connection, chunk("\n"));
                    }
                });
                WatchFixture fixture = new WatchFixture(discovery, 41)) {
            fixture.watch.start();
            ScriptedServer.await(() -> fixture.aliveEvents.get() == 3);
            assertEquals(discovery.requests.size(), 1);
        }
    }

    /** The first calls to the new address get no update; the previous watch is closed after the first one. */
    @Test
    public void previousWatchDeliversUpdatesUntilNewAddressDoes() throws Exception {
        try (ScriptedServer previous = discovery(HEAD + chunk(update(42, true, "s")));
                ScriptedServer moved = discovery("", HEAD + chunk("\n"));
                WatchFixture fixture = new WatchFixture(previous, 41)) {
            fixture.watch.start();
            ScriptedServer.await(() -> fixture.updates.size() == 1);
            fixture.watch.moveTo(address(moved));
            ScriptedServer.await(() -> moved.requests.size() == 2);
            Socket previousConnection = previous.connections.get(0);
            ScriptedServer.write(previousConnection, chunk(update(43, false, "t")));
            ScriptedServer.await(() -> fixture.updates.size() == 2);
            ScriptedServer.write(moved.connections.get(1), chunk(update(3, true, "u")));
            ScriptedServer.await(() -> fixture.updates.size() == 3);
            assertEquals(fixture.updates, List.of("42! s", "43 t", "3! u"));
            assertTrue(
                    moved.requests.stream().allMatch(request -> request.line().contains("from=0 ")));
            assertTrue(isClosedByPeer(previousConnection), "expected the previous watch to be closed");
        }
    }

    private static boolean isClosedByPeer(Socket socket) {
        try {
            // Shorter than the idle timeout of the watch.
            socket.setSoTimeout(1_000);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    /** The configuration is reloaded while the sidecar starts. */
    @Test
    public void callsOnlyNewAddressIfMovedBeforeStart() throws Exception {
        String complete = HEAD + chunk(update(3, true, "u"));
        try (ScriptedServer previous = discovery();
                ScriptedServer moved = discovery(complete, complete);
                WatchFixture fixture = new WatchFixture(previous, 41)) {
            fixture.watch.moveTo(address(moved));
            fixture.watch.start();
            ScriptedServer.await(() -> fixture.updates.size() == 1);
            Thread.sleep(100);
            assertEquals(moved.requests.size(), 1);
            assertEquals(previous.requests.size(), 0);
        }
    }
}
