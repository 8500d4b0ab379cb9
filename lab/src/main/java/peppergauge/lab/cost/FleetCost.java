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
 * Measures the fleet service, as a program that is started manually: {@code FleetCost DAEMONS CELLS SECONDS
 * KEEP_EVERY_S}. Emulated daemons report to three fleet instances in this process and poll them for tables, at the
 * intervals of the responses. Prints bytes and CPU per second of both sides over the second half of the time.
 */
public final class FleetCost {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final Random random = new Random(1);
    private final int cells;
    private final long persistIntervalMs;
    private final List<String> addresses = new ArrayList<>();
    private final HttpCaller caller = new HttpCaller(5_000, 1 << 20);
    private long reports;
    private long polls;
    private long bytesUp;
    private long bytesDown;

    private FleetCost(int cells, long persistIntervalMs) {
        this.cells = cells;
        this.persistIntervalMs = persistIntervalMs;
    }

    private static final class Daemon {
        private final int number;
        private final long incarnation = System.currentTimeMillis();
        private final Histogram[] latencies;
        private long sequence;
        private long knownVersion;

        Daemon(int number, Histogram[] latencies) {
            this.number = number;
            this.latencies = latencies;
        }
    }

    private record ScheduledCall(long atMs, Daemon daemon, boolean report) {}

    public static void main(String[] args) throws Exception {
        new FleetCost(Integer.parseInt(args[1]), Integer.parseInt(args[3]) * 1_000L)
                .run(Integer.parseInt(args[0]), Integer.parseInt(args[2]) * 1_000L);
        System.exit(0);
    }

    private void run(int count, long lengthMs) throws Exception {
        Path root = Files.createTempDirectory("fleet-cost");
        List<FleetService> services = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            addresses.add("127.0.0.1:" + (7_301 + i));
        }
        for (int i = 0; i < 3; i++) {
            services.add(
                    new FleetService(config(root, i), Planner.NONE, new PosixFileSystem(), System::currentTimeMillis));
        }
        PriorityQueue<ScheduledCall> schedule = new PriorityQueue<>(Comparator.comparingLong(ScheduledCall::atMs));
        long start = System.currentTimeMillis();
        Histogram[][] shared = sharedHistograms();
        for (int i = 0; i < count; i++) {
            Daemon daemon = new Daemon(i, shared[i % shared.length]);
            schedule.add(new ScheduledCall(start + random.nextInt(10_000), daemon, true));
            schedule.add(new ScheduledCall(start + random.nextInt(10_000), daemon, false));
        }
        boolean measuring = false;
        long[] before = new long[2];
        while (System.currentTimeMillis() < start + lengthMs) {
            if (!measuring && System.currentTimeMillis() > start + lengthMs / 2) {
                measuring = true;
                reports = polls = bytesUp = bytesDown = 0;
                before = cpuNs();
            }
            ScheduledCall next = schedule.poll();
            Thread.sleep(Math.max(0, next.atMs() - System.currentTimeMillis()));
            long intervalMs = next.report() ? report(next.daemon()) : poll(next.daemon());
            schedule.add(new ScheduledCall(
                    System.currentTimeMillis() + (long) (intervalMs * (0.8 + 0.4 * random.nextDouble())),
                    next.daemon(),
                    next.report()));
        }
        long[] after = cpuNs();
        printResult(count, lengthMs, before, after, services.get(0).status());
        for (FleetService service : services) {
            service.close();
        }
        try (var files = Files.walk(root)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    /** Returns a few sets that all daemons share, since a set per daemon would take gigabytes. */
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
                "%d daemons of %d cells, %d s: %.1f reports/s, %.1f polls/s; up %.0f KiB/s, down "
                        + "%.0f KiB/s; CPU of three instances %.1f %% of a core, of all "
                        + "daemons %.1f %%; heap %d MiB; %s%n",
                count,
                cells,
                lengthMs / 2_000,
                reports / s,
                polls / s,
                bytesUp / s / 1024,
                bytesDown / s / 1024,
                (after[0] - before[0]) / s / 1e7,
                (after[1] - before[1]) / s / 1e7,
                heap >> 20,
                status);
    }

    /** CPU time, ns, of the threads of the fleet instances and of the emulated daemons. */
    private static long[] cpuNs() {
        long services = 0;
        for (long id : THREADS.getAllThreadIds()) {
            var info = THREADS.getThreadInfo(id);
            if (info != null && id != Thread.currentThread().getId()) {
                services += Math.max(0, THREADS.getThreadCpuTime(id));
            }
        }
        return new long[] {services, THREADS.getCurrentThreadCpuTime()};
    }

    private FleetServiceConfig config(Path root, int i) {
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
                new FleetServiceConfig.Times(1_000, persistIntervalMs, 5_000),
                new FleetServiceConfig.Sizes(1 << 20, 2_000, 2_000, 1_024));
    }

    private long report(Daemon daemon) throws Exception {
        List<TrafficCounts> counts = new ArrayList<>();
        for (int i = 0; i < cells; i++) {
            for (int requests = 0; requests < 10; requests++) {
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
        HttpCaller.Response response = caller.call(addresses.get(daemon.number % 3), "/fleet/v1/reports", body);
        reports++;
        bytesUp += body.length;
        bytesDown += response.body().length;
        return JsonCodec.read(response.body(), ReportResponse.class).reportIntervalMs();
    }

    private long poll(Daemon daemon) throws Exception {
        HttpCaller.Response response =
                caller.call(addresses.get(daemon.number % 3), "/fleet/v1/table?known=" + daemon.knownVersion, null);
        polls++;
        bytesDown += response.body().length;
        TableResponse tableResponse = JsonCodec.read(response.body(), TableResponse.class);
        daemon.knownVersion = tableResponse.table() == null
                ? daemon.knownVersion
                : tableResponse.table().version();
        return tableResponse.pollIntervalMs();
    }
}
