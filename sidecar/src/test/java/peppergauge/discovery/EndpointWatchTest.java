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

/** The watch on real sockets, against a discovery that plays a part in each answer; judged by what was asked. */
public class EndpointWatchTest extends RealTimeTestBase {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** What it was told, each as its version and servers. */
    private static final class Bench implements AutoCloseable, EndpointWatch.Listener {

        final List<String> told = new CopyOnWriteArrayList<>();
        final AtomicInteger heard = new AtomicInteger();
        final EventLoop loop = new EventLoop();
        final EndpointWatch watch;

        Bench(ScriptedServer discovery, long version) {
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
        public void onEndpointUpdate(EndpointUpdate table) {
            told.add(table.version()
                    + (table.complete() ? "!" : "")
                    + table.endpoints().stream()
                            .map(row -> " " + row.endpoint().server())
                            .reduce("", String::concat));
        }

        @Override
        public void onWatchLost() {}

        @Override
        public void onWatchAlive() {
            heard.incrementAndGet();
        }

        @Override
        public void close() {
            watch.close();
            loop.close();
        }
    }

    private static InetSocketAddress address(ScriptedServer toy) {
        String[] parts = toy.address().split(":");
        return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    }

    private static String list(int version, boolean whole, String... servers) {
        StringBuilder rows = new StringBuilder();
        for (String server : servers) {
            rows.append(rows.isEmpty() ? "" : ",")
                    .append("{\"id\":\"")
                    .append(server)
                    .append("\",\"addr\":\"h:1\",\"state\":\"active\"}");
        }
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":[" + rows + "]}\n";
    }

    private static String indented(String list) {
        return list.replace("{", "{\r\n  ").replace(",", ",\n\n  ").replace("}]}", "\n}\n]\n}");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Answers the calls in turn with these texts; "/" ends the connection, "" says nothing at all. */
    private static ScriptedServer playing(String... answers) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        return new ScriptedServer((request, connection) -> {
            int call = calls.getAndIncrement();
            String answer = call < answers.length ? answers[call] : HEAD;
            ScriptedServer.write(connection, answer.replaceAll("/$", ""));
            if (answer.endsWith("/")) {
                connection.close();
            }
        });
    }

    @DataProvider(parallel = true)
    public Object[][] answers() {
        String news = HEAD + chunk(list(43, false, "t"));
        String half = list(43, true, "s", "t").substring(0, 70);
        return new Object[][] {
            {
                "indented over several lines",
                List.of("43! s t"),
                "41",
                new String[] {HEAD + chunk(indented(list(43, true, "s", "t")))}
            },
            {
                "indented, cut in two",
                List.of("43! s t"),
                "41",
                new String[] {
                    HEAD
                            + chunk(indented(list(43, true, "s", "t")).substring(0, 40))
                            + chunk(indented(list(43, true, "s", "t")).substring(40))
                }
            },
            {
                "two on a line, the last without its end",
                List.of("42 s", "43 t"),
                "41",
                new String[] {
                    HEAD
                            + chunk(list(42, false, "s").trim() + " "
                                    + list(43, false, "t").trim())
                }
            },
            {
                "a text with brackets and quotes",
                List.of("43 }\"[ t"),
                "41",
                new String[] {HEAD + chunk(list(43, false, "}\\\"[", "t"))}
            },
            {
                "a watch falls silent",
                List.of("42! s", "43 t"),
                "41 42",
                new String[] {HEAD + chunk(list(42, true, "s")), news}
            },
            {"the first answer never comes", List.of("43 t"), "41 41 41", new String[] {"", "", news}},
            {"a head and no body", List.of("43 t"), "41 41", new String[] {HEAD, news}},
            {
                "breaks half way through the list",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + Integer.toHexString(300) + "\r\n" + half + "/", news}
            },
            {
                "ends half way through the list",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk(half) + "0\r\n\r\n", news}
            },
            {"falls silent half way through the list", List.of("43 t"), "41 41", new String[] {HEAD + chunk(half), news}
            },
            {
                "goes on after half a list",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk(half + "\n\n") + chunk("\n"), news}
            },
            {
                "half a line, then the next",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk("\"version\n" + list(44, false, "u")), news}
            },
            {
                "nonsense, then the next",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk("{ nonsense\n" + list(44, false, "u")), news}
            },
            {
                "an error",
                List.of("43 t"),
                "41 41",
                new String[] {"HTTP/1.1 503 Not Now\r\nContent-Length: 0\r\n\r\n", news}
            },
            {
                "malformed once",
                List.of("43 t"),
                "41 41",
                new String[] {HEAD + chunk("{\"version\":42}\n" + list(43, false, "u")), news}
            },
            {
                "malformed each time",
                List.of("43 t"),
                "41 41",
                new String[] {
                    HEAD + chunk("{\"version\":42}\n"), HEAD + chunk("{\"version\":42}\n" + list(43, false, "t"))
                }
            },
            {
                "changes of a version gone backward",
                List.of("3! t"),
                "41 0",
                new String[] {HEAD + chunk(list(2, false, "s")), HEAD + chunk(list(3, true, "t"))}
            },
            {
                "a whole list of a version gone backward",
                List.of("3! t", "4 u"),
                "41",
                new String[] {HEAD + chunk(list(3, true, "t") + list(4, false, "u"))}
            },
        };
    }

    @Test(dataProvider = "answers")
    public void whatDiscoveryHasToTellArrives(String which, List<String> told, String asked, String[] answers)
            throws Exception {
        try (ScriptedServer discovery = playing(answers);
                Bench bench = new Bench(discovery, 41)) {
            bench.watch.start();
            ScriptedServer.await(() -> bench.told.size() >= told.size());
            assertEquals(bench.told, told, which);
            String from = discovery.requests.stream()
                    .map(ScriptedServer.Request::line)
                    .map(line -> line.replaceAll(".*from=(\\d+) .*", "$1"))
                    .collect(Collectors.joining(" "));
            assertEquals(from, asked, which);
        }
    }

    /** Every 2 s an empty line: a watch with nothing to tell is not broken. */
    @Test
    public void aWatchThatOnlyHasNothingToTellIsKept() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    ScriptedServer.write(connection, HEAD);
                    for (int line = 0; line < 3; line++) {
                        Thread.sleep(2_000);
                        ScriptedServer.write(connection, chunk("\n"));
                    }
                });
                Bench bench = new Bench(discovery, 41)) {
            bench.watch.start();
            ScriptedServer.await(() -> bench.heard.get() == 3);
            assertEquals(discovery.requests.size(), 1);
        }
    }

    /** After SIGHUP: what the old one tells is news until the new one has told something, and never after that. */
    @Test
    public void theOldOneIsHeardUntilTheNewOneTellsThoughThatIsSilentAtFirst() throws Exception {
        try (ScriptedServer old = playing(HEAD + chunk(list(42, true, "s")));
                ScriptedServer moved = playing("", HEAD + chunk("\n"));
                Bench bench = new Bench(old, 41)) {
            bench.watch.start();
            ScriptedServer.await(() -> bench.told.size() == 1);
            bench.watch.moveTo(address(moved));
            ScriptedServer.await(() -> moved.requests.size() == 2);
            Socket watched = old.connections.get(0);
            ScriptedServer.write(watched, chunk(list(43, false, "t")));
            ScriptedServer.await(() -> bench.told.size() == 2);
            ScriptedServer.write(moved.connections.get(1), chunk(list(3, true, "u")));
            ScriptedServer.await(() -> bench.told.size() == 3);
            assertEquals(bench.told, List.of("42! s", "43 t", "3! u"));
            assertTrue(
                    moved.requests.stream().allMatch(request -> request.line().contains("from=0 ")));
            assertTrue(ended(watched), "the old watch stays open");
        }
    }

    private static boolean ended(Socket socket) {
        try {
            // Sooner than its silence would end it.
            socket.setSoTimeout(1_000);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        } catch (IOException reset) {
            return true;
        }
    }

    /** SIGHUP while the program comes up. */
    @Test
    public void movedBeforeItStartsItWatchesOnceAndOnlyThere() throws Exception {
        String list = HEAD + chunk(list(3, true, "u"));
        try (ScriptedServer old = playing();
                ScriptedServer moved = playing(list, list);
                Bench bench = new Bench(old, 41)) {
            bench.watch.moveTo(address(moved));
            bench.watch.start();
            ScriptedServer.await(() -> bench.told.size() == 1);
            Thread.sleep(100);
            assertEquals(moved.requests.size(), 1);
            assertEquals(old.requests.size(), 0);
        }
    }
}
