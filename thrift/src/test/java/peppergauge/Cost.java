package peppergauge;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import peppergauge.thrift.wire.Form;

/**
 * Run by hand (docs/THRIFT.md): what a session and a connection cost beside HTTP ones. Clients and servers share the
 * process, so only the CPU time of the sidecar's own thread is counted; of the heap what grows with connections.
 */
public final class Cost {

    private static final int SESSIONS = 6_000;
    private static final int CONNECTIONS = 600;

    private Cost() {}

    public static void main(String[] args) throws Exception {
        List<Stage.Pair> pairs = new ArrayList<>(Stream.concat(
                        Stream.of((Spelling) new HttpSpelling()),
                        Stream.of(Form.values()).map(ThriftSpelling::new))
                .map(one -> new Stage.Pair(one, one))
                .toList());
        pairs.add(new Stage.Pair(new ThriftSpelling(Form.FRAMED_COMPACT), new ThriftSpelling(Form.FRAMED_BINARY)));
        for (Stage.Pair pair : pairs) {
            System.out.printf(Locale.ROOT, "%-32s", pair);
            // One after the other, as usual clients ask; the last two rounds are of a warm Java machine.
            try (Stage stage = new Stage(
                    pair,
                    2_048,
                    (ask, connection) ->
                            connection.getOutputStream().write(pair.server().served(ask, "x".repeat(200))))) {
                for (int round = 0; round < 4; round++) {
                    System.out.printf(Locale.ROOT, " %5.0f us", sessions(stage, round));
                }
                System.out.printf(Locale.ROOT, "  %6.0f bytes a connection%n", connections(stage));
            }
        }
        System.exit(0);
    }

    private static double sessions(Stage stage, int round) throws Exception {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long loop = Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
                .filter(thread -> thread != null && thread.getThreadName().equals("loop"))
                .findFirst()
                .orElseThrow()
                .getThreadId();
        try (Socket client = stage.client()) {
            Spelling.End end = stage.pair.client().on(client.getInputStream());
            long before = threads.getThreadCpuTime(loop);
            for (int i = 0; i < SESSIONS; i++) {
                client.getOutputStream()
                        .write(stage.pair.client().ask(Stage.asking("gift", round + "-" + i, 900), "acme"));
                if (!"served".equals(end.answer().what())) {
                    throw new IllegalStateException("not served");
                }
            }
            return (threads.getThreadCpuTime(loop) - before) / 1e3 / SESSIONS;
        }
    }

    /** Each has asked twice and is idle. */
    private static double connections(Stage stage) throws Exception {
        List<Socket> open = new ArrayList<>();
        stage.asks.clear();
        long before = used();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket client = stage.client();
            open.add(client);
            for (int call = 0; call < 2; call++) {
                stage.ask(client, Stage.asking("list", "c" + i + "-" + call, 900), "acme");
            }
        }
        stage.asks.clear();
        double each = (used() - before) / (double) CONNECTIONS;
        for (Socket client : open) {
            client.close();
        }
        return each;
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 4; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
