package peppergauge.lab.cost;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Random;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.http.HttpCaller;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.planner.Planner;
import peppergauge.fleet.service.FleetService;
import peppergauge.fleet.service.FleetServiceConfig;
import peppergauge.fleet.state.CallRate;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.state.ReportLimits;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.TrafficCounts;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.fleet.wire.ReportResponse;
import peppergauge.fleet.wire.TableResponse;
import peppergauge.snapshot.storage.PosixFileSystem;

/**
 * By hand: {@code FleetCost DAEMONS CELLS SECONDS KEEP_EVERY_S}. So many emulated daemons report to three instances in
 * this process and ask them for tables, as often as they are told; the second half of the time is measured. Prints
 * bytes and CPU a second on both sides.
 */
public final class FleetCost {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final Random random = new Random(1);
    private final int cells;
    private final long keepMs;
    private final List<String> addresses = new ArrayList<>();
    private final HttpCaller caller = new HttpCaller(5_000, 1 << 20);
    private long reports;
    private long asks;
    private long up;
    private long down;

    private FleetCost(int cells, long keepMs) {
        this.cells = cells;
        this.keepMs = keepMs;
    }

    private static final class Daemon {
        private final int number;
        private final long incarnation = System.currentTimeMillis();
        private final Histogram[] latencies;
        private long sequence;
        private long known;

        Daemon(int number, Histogram[] latencies) {
            this.number = number;
            this.latencies = latencies;
        }
    }

    private record Due(long atMs, Daemon daemon, boolean report) {}

    public static void main(String[] args) throws Exception {
        new FleetCost(Integer.parseInt(args[1]), Integer.parseInt(args[3]) * 1_000L)
                .run(Integer.parseInt(args[0]), Integer.parseInt(args[2]) * 1_000L);
        System.exit(0);
    }

    private void run(int count, long lengthMs) throws Exception {
        Path root = Files.createTempDirectory("measure");
        List<FleetService> services = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            addresses.add("127.0.0.1:" + (7_301 + i));
        }
        for (int i = 0; i < 3; i++) {
            services.add(new FleetService(
                    settings(root, i), Planner.NONE, new PosixFileSystem(), System::currentTimeMillis));
        }
        PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::atMs));
        long start = System.currentTimeMillis();
        Histogram[][] shared = sharedHistograms();
        for (int i = 0; i < count; i++) {
            Daemon daemon = new Daemon(i, shared[i % shared.length]);
            due.add(new Due(start + random.nextInt(10_000), daemon, true));
            due.add(new Due(start + random.nextInt(10_000), daemon, false));
        }
        boolean measuring = false;
        long[] before = new long[2];
        while (System.currentTimeMillis() < start + lengthMs) {
            if (!measuring && System.currentTimeMillis() > start + lengthMs / 2) {
                measuring = true;
                reports = asks = up = down = 0;
                before = cpu();
            }
            Due next = due.poll();
            Thread.sleep(Math.max(0, next.atMs() - System.currentTimeMillis()));
            long intervalMs = next.report() ? report(next.daemon()) : ask(next.daemon());
            due.add(new Due(
                    System.currentTimeMillis() + (long) (intervalMs * (0.8 + 0.4 * random.nextDouble())),
                    next.daemon(),
                    next.report()));
        }
        long[] after = cpu();
        printResult(count, lengthMs, before, after, services.get(0).status());
        for (FleetService service : services) {
            service.close();
        }
        try (var files = Files.walk(root)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    /** A few sets that all daemons share, since a set for each would take gigabytes. */
    private Histogram[][] sharedHistograms() {
        Histogram[][] shared = new Histogram[20][cells];
        for (Histogram[] set : shared) {
            for (int i = 0; i < cells; i++) {
                set[i] = LatencyHistograms.empty();
                for (int requests = 0; requests < 2_000; requests++) {
                    set[i].recordValue((long) (40 * Math.exp(random.nextGaussian())));
                }
            }
        }
        return shared;
    }

    private void printResult(int count, long lengthMs, long[] before, long[] after, Object status) {
        double s = lengthMs / 2_000.0;
        System.gc();
        long heap = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        System.out.printf(
                Locale.ROOT,
                "%d daemons of %d cells, %d s: %.1f reports/s, %.1f asks/s; up %.0f KiB/s, down "
                        + "%.0f KiB/s; CPU of three instances %.1f %% of a core, of all "
                        + "daemons %.1f %%; heap %d MiB; %s%n",
                count,
                cells,
                lengthMs / 2_000,
                reports / s,
                asks / s,
                up / s / 1024,
                down / s / 1024,
                (after[0] - before[0]) / s / 1e7,
                (after[1] - before[1]) / s / 1e7,
                heap >> 20,
                status);
    }

    /** Of the instances' threads, and of the daemons'. */
    private static long[] cpu() {
        long services = 0;
        for (long id : THREADS.getAllThreadIds()) {
            var info = THREADS.getThreadInfo(id);
            if (info != null && id != Thread.currentThread().getId()) {
                services += Math.max(0, THREADS.getThreadCpuTime(id));
            }
        }
        return new long[] {services, THREADS.getCurrentThreadCpuTime()};
    }

    private FleetServiceConfig settings(Path root, int i) {
        List<FleetServiceConfig.Peer> peers = new ArrayList<>();
        for (int j = 0; j < 3; j++) {
            if (j != i) {
                peers.add(new FleetServiceConfig.Peer("fleet-" + j, addresses.get(j)));
            }
        }
        return new FleetServiceConfig(
                "north",
                "fleet-" + i,
                i + 1,
                new InetSocketAddress("127.0.0.1", 7_301 + i),
                peers,
                root.resolve("f" + i),
                new ReportLimits(30_000, 5_000, 86_400_000, 4_000, 2_000, 1L << 30),
                new CallRate(50, 2_000, 120_000),
                new CallRate(300, 2_000, 120_000),
                new Membership.Timeouts(5_000, 5_000),
                new FleetServiceConfig.Tables(5_000, 180_000, 0.1),
                new FleetServiceConfig.Times(1_000, keepMs, 5_000),
                new FleetServiceConfig.Sizes(1 << 20, 2_000, 2_000, 1_024));
    }

    private long report(Daemon daemon) throws Exception {
        List<TrafficCounts> counts = new ArrayList<>();
        for (int i = 0; i < cells; i++) {
            for (int sessions = 0; sessions < 10; sessions++) {
                daemon.latencies[i].recordValue((long) (40 * Math.exp(random.nextGaussian())));
            }
            counts.add(new TrafficCounts(
                    "station-" + i / 12,
                    "class-" + i / 3 % 4,
                    "zone-" + i % 3,
                    daemon.latencies[i].getTotalCount(),
                    1,
                    0,
                    LatencyHistograms.encode(daemon.latencies[i])));
        }
        byte[] body = JsonCodec.write(new DaemonReport(
                "north",
                "daemon-" + daemon.number,
                daemon.incarnation,
                ++daemon.sequence,
                System.currentTimeMillis(),
                counts));
        HttpCaller.Response answer = caller.call(addresses.get(daemon.number % 3), "/fleet/v1/reports", body);
        reports++;
        up += body.length;
        down += answer.body().length;
        return JsonCodec.read(answer.body(), ReportResponse.class).reportIntervalMs();
    }

    private long ask(Daemon daemon) throws Exception {
        HttpCaller.Response answer =
                caller.call(addresses.get(daemon.number % 3), "/fleet/v1/table?known=" + daemon.known, null);
        asks++;
        down += answer.body().length;
        TableResponse read = JsonCodec.read(answer.body(), TableResponse.class);
        daemon.known = read.table() == null ? daemon.known : read.table().version();
        return read.pollIntervalMs();
    }
}
